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
	tickInterval    = 50 * clock.Millisecond
	refreshInterval = 200 * clock.Millisecond
	restoreInterval = 10 * clock.Second
	// silence is the time without a report after which an upstream gets
	// nothing new, and without a lease after which the callers are sent to
	// the zone's next scheduler.
	silenceTimeout   = 2 * clock.Second
	outcomeRetention = 10 * clock.Minute
)

// Bounds of the dispatcher.
const (
	maxRetainedOutcomes = 100_000
	maxAttempts         = 10
)

// Scheduler runs the work of one availability zone while its Holder allows it.
type Scheduler struct {
	config Config
	// mu guards core and what follows.
	mu   sync.Mutex
	core *core
	// heldAt is when the zone was last seen to be held.
	lastHeldAt clock.Millis
	draining   bool
	// refreshAt and restoreAt are when the log's state is looked at again.
	nextRefreshAt clock.Millis
	nextRestoreAt clock.Millis

	allotments allotments
	// others are the last summaries of the other zones.
	remoteAllocated map[unit.AvailabilityZone]zoneAllocation

	callers   callers
	proposals proposalQueues
	// work holds the calls to upstreams and the log.
	calls    errgroup.Group
	inFlight callTracker
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
		config: c,
		core: newCore(c.AvailabilityZone, c.State, dispatcher.Config{
			TaskLease:           c.TaskLease,
			ReportTimeout:       silenceTimeout,
			OutcomeRetention:    outcomeRetention,
			MaxRetainedOutcomes: maxRetainedOutcomes,
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
func (s *Scheduler) process(event func(now clock.Millis)) {
	s.mu.Lock()
	now := s.config.Clock.Now()
	mayStart := s.syncLease(now)
	if event != nil {
		event(now)
	}
	effects := s.core.decide(now, mayStart)
	s.mu.Unlock()
	s.execute(effects)
}

// follow begins or ends the schedule of the zone as the holder says, and
// reports whether work may be started now. The caller holds the lock.
func (s *Scheduler) syncLease(now clock.Millis) bool {
	epoch, holds := s.heldEpoch(now)
	if holds {
		s.lastHeldAt = now
		if epoch != s.core.dispatcher.Epoch() {
			s.config.Logger.WithField("Epoch", epoch).Info("scheduling the availability zone")
			s.core.activate(now, epoch, s.priorUpstreams(epoch))
			s.nextRestoreAt = now + restoreInterval
		}
		return true
	}
	held := s.core.dispatcher.Epoch()
	if held == 0 {
		return false
	}
	if s.draining || s.config.State.Zone(s.config.AvailabilityZone).Epoch > held || now >= s.lastHeldAt+silenceTimeout {
		s.config.Logger.WithField("Epoch", held).Info("no longer scheduling the availability zone")
		s.core.deactivate(now)
	}
	return false
}

// holds reports whether this instance may schedule the zone now. It waits until
// its copy of the log holds the epoch, and with it every intent that an earlier
// scheduler was granted.
func (s *Scheduler) heldEpoch(now clock.Millis) (unit.Epoch, bool) {
	epoch, ok := s.config.Holder.HoldsLease(now)
	caughtUp := s.config.State.Zone(s.config.AvailabilityZone).Epoch >= epoch
	return epoch, ok && caughtUp && !s.draining && !s.isZoneLost()
}

// isLost reports whether the operators declared this zone lost: others count
// on nothing running here any more.
func (s *Scheduler) isZoneLost() bool {
	config, _ := s.config.State.Config()
	for _, z := range config.AvailabilityZones {
		if z.Name == s.config.AvailabilityZone {
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
	return s.core.queuer.Status(maxStatusTasks)
}
