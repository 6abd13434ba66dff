package router

import (
	"sync/atomic"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/retrier"
)

// backoff spaces the sends of one request.
var backoff = retrier.Backoff{BaseDelay: 20 * clock.Millisecond, MaxDelay: 1 * clock.Second}

// The budget holds credits. A send earns one, a retry costs retryCost, so that
// in the long run at most one send in ten is a retry. The cap is what a burst
// may spend at once.
const (
	retryCost     = 10
	maxCredits    = 5000
	urgentReserve = 1000
)

// budget keeps retries a small part of all sends. The zero value starts full.
type budget struct{ spent atomic.Int64 }

// sent earns credit for a first send.
func (b *budget) sent() {
	if b.spent.Add(-1) < 0 {
		b.spent.Store(0)
	}
}

// retry takes the credit for one retry, if there is enough. The last credits
// are kept for urgent work.
func (b *budget) retry(urgent bool) bool {
	limit := int64(maxCredits - urgentReserve)
	if urgent {
		limit = maxCredits
	}
	if b.spent.Add(retryCost) > limit {
		b.spent.Add(-retryCost)
		return false
	}
	return true
}

// Bounds of the requests in progress at one entry instance. The last ones are
// kept for urgent work, so that it is never shed for other work.
const (
	maxInProgress  = 8192
	urgentHeadroom = 1024
)

// gate bounds the requests in progress. The zero value is ready.
type gate struct{ inside atomic.Int64 }

// enter admits a request, or reports that it must be shed.
func (g *gate) enter(urgent bool) bool {
	limit := int64(maxInProgress - urgentHeadroom)
	if urgent {
		limit = maxInProgress
	}
	if g.inside.Add(1) > limit {
		g.inside.Add(-1)
		return false
	}
	return true
}

func (g *gate) leave() { g.inside.Add(-1) }
