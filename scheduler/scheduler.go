// Package scheduler runs the work of one availability zone.
//
// Every entry instance has a Scheduler; it works while its Holder says that
// this instance may start work in the zone. Its core is a state machine that
// ties the dispatcher (what became of each request and task) to the queuer
// (what starts next, and where). This package gives the core its events one at
// a time and carries out what comes back: proposals to the log, orders to
// upstreams, answers to callers.
//
// Whether the zone is still held is asked under the same lock that hands out
// an order, as the last thing before the order leaves.
package scheduler

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Spans of the scheduler's housekeeping.
const (
	tickEvery    = 50 * clock.Millisecond
	refreshEvery = 200 * clock.Millisecond
	restoreEvery = 10 * clock.Second
	// silence is the time without a report after which an upstream gets
	// nothing new, and without a lease after which the callers are sent to
	// the zone's next scheduler.
	silence   = 2 * clock.Second
	keepEnded = 10 * clock.Minute
)

// Bounds of the dispatcher.
const (
	maxEnded    = 100_000
	maxAttempts = 10
)

// Scheduler runs the work of one availability zone while its Holder allows it.
type Scheduler struct {
	c Config
	// mu guards core and what follows.
	mu   sync.Mutex
	core *core
	// heldAt is when the zone was last seen to be held.
	heldAt   clock.Millis
	draining bool
	// refreshAt and restoreAt are when the log's state is looked at again.
	refreshAt clock.Millis
	restoreAt clock.Millis

	allotments allotments
	// others are the last summaries of the other zones.
	others map[unit.AvailabilityZone]summary

	callers callers
	records records
	// work holds the calls to upstreams and the log.
	work errgroup.Group
	busy busy
	// ctx ends when Run ends; work that outlives the call that caused it uses
	// it.
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
}

// New returns a Scheduler; Run starts it. It must be made before the log is
// started, since it watches the state.
func New(c Config) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{
		c: c,
		core: newCore(c.AvailabilityZone, c.State, dispatcher.Config{
			TaskLease:           c.TaskLease,
			ReportTimeout:       silence,
			OutcomeRetention:    keepEnded,
			MaxRetainedOutcomes: maxEnded,
			MaxAttempts:         maxAttempts,
			NewTask:             func() unit.Task { return unit.Task(uuid.NewString()) },
		}),
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
	}
	c.State.Subscribe(func(replicator.Index) { s.wakeUp() })
	return s
}

func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// with gives the core an event and carries out what comes back. The event may
// be nil.
func (s *Scheduler) with(event func(now clock.Millis)) {
	s.mu.Lock()
	now := s.c.Clock.Now()
	mayStart := s.follow(now)
	if event != nil {
		event(now)
	}
	effects := s.core.decide(now, mayStart)
	s.mu.Unlock()
	s.carryOut(effects)
}

// follow begins or ends the schedule of the zone as the holder says, and
// reports whether work may be started now. The caller holds the lock.
func (s *Scheduler) follow(now clock.Millis) bool {
	epoch, holds := s.holds(now)
	if holds {
		s.heldAt = now
		if epoch != s.core.d.Epoch() {
			s.c.Logger.WithField("Epoch", epoch).Info("scheduling the availability zone")
			s.core.hold(now, epoch, s.inheritance(epoch))
			s.restoreAt = now + restoreEvery
		}
		return true
	}
	held := s.core.d.Epoch()
	if held == 0 {
		return false
	}
	if s.draining || s.c.State.Zone(s.c.AvailabilityZone).Epoch > held || now >= s.heldAt+silence {
		s.c.Logger.WithField("Epoch", held).Info("no longer scheduling the availability zone")
		s.core.lose(now)
	}
	return false
}

// holds reports whether this instance may schedule the zone now. It waits until
// its copy of the log holds the epoch, and with it every intent that an earlier
// scheduler was granted.
func (s *Scheduler) holds(now clock.Millis) (unit.Epoch, bool) {
	epoch, ok := s.c.Holder.HoldsLease(now)
	caughtUp := s.c.State.Zone(s.c.AvailabilityZone).Epoch >= epoch
	return epoch, ok && caughtUp && !s.draining && !s.isLost()
}

// isLost reports whether the operators declared this zone lost: others count
// on nothing running here any more.
func (s *Scheduler) isLost() bool {
	config, _ := s.c.State.Config()
	for _, z := range config.AvailabilityZones {
		if z.Name == s.c.AvailabilityZone {
			return z.Lost
		}
	}
	return false
}

// Status is what the scheduler shows to operators.
type Status = queuerStatus

// Status returns the scheduler's view of its zone.
func (s *Scheduler) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.q.Status(statusTasks)
}
