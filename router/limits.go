package router

import (
	"sync/atomic"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/retrier"
)

// backoff is the delay between the sends of one request.
var backoff = retrier.Backoff{BaseDelay: 20 * clock.Millisecond, MaxDelay: 1 * clock.Second}

// The retry budget holds up to maxRetryCredits, which a burst may spend at once.
// Each first send adds one credit and each retry spends creditsPerRetry, so that
// in the long run there is at most one retry per ten first sends. The last
// urgentRetryCredits are reserved for urgent requests.
const (
	creditsPerRetry    = 10
	maxRetryCredits    = 5000
	urgentRetryCredits = 1000
)

// retryBudget limits retries to a small fraction of all sends. The zero value has
// all credits.
type retryBudget struct{ spentCredits atomic.Int64 }

// addCredit adds the credit for a first send.
func (b *retryBudget) addCredit() {
	if b.spentCredits.Add(-1) < 0 {
		b.spentCredits.Store(0)
	}
}

// allowRetry spends the credits for one retry and reports whether there were
// enough.
func (b *retryBudget) allowRetry(urgent bool) bool {
	limit := int64(maxRetryCredits - urgentRetryCredits)
	if urgent {
		limit = maxRetryCredits
	}
	if b.spentCredits.Add(creditsPerRetry) > limit {
		b.spentCredits.Add(-creditsPerRetry)
		return false
	}
	return true
}

// Bounds of the number of requests in progress at one entry instance. The last
// urgentInProgress places are reserved for urgent requests, so that no urgent
// request is shed because of other requests.
const (
	maxInProgress    = 8192
	urgentInProgress = 1024
)

// gate bounds the number of requests in progress. Its zero value is ready to use.
type gate struct{ inProgress atomic.Int64 }

// tryEnter admits a request, or returns false if it must be shed. An admitted
// request must call leave when it ends.
func (g *gate) tryEnter(urgent bool) bool {
	limit := int64(maxInProgress - urgentInProgress)
	if urgent {
		limit = maxInProgress
	}
	if g.inProgress.Add(1) > limit {
		g.inProgress.Add(-1)
		return false
	}
	return true
}

func (g *gate) leave() { g.inProgress.Add(-1) }
