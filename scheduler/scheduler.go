// Package scheduler schedules the tasks of one availability zone.
//
// Every instance has a Scheduler. It is active while its Holder reports that
// the instance holds the lease of its zone. The core of a Scheduler is a state
// machine that connects the dispatcher, which tracks each request and task, to
// the queuer, which decides what starts next and on which upstream. The
// Scheduler passes events to the core one at a time and executes the returned
// effects: proposals to the log, orders to upstreams and answers to callers.
//
// The Scheduler checks the lease of the zone immediately before it sends a
// start order, under the lock that protects the core.
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

// Intervals and timeouts of the periodic work of a Scheduler.
const (
	tickInterval    = 50 * clock.Millisecond
	refreshInterval = 200 * clock.Millisecond
	restoreInterval = 10 * clock.Second
	// silenceTimeout is the time without a report after which an upstream gets
	// no new tasks. It is also the time without a lease after which callers are
	// redirected to the next scheduler of the zone.
	silenceTimeout   = 2 * clock.Second
	outcomeRetention = 10 * clock.Minute
)

// Limits of the dispatcher.
const (
	maxRetainedOutcomes = 100_000
	maxAttempts         = 10
)

// Scheduler schedules the tasks of one availability zone while its Holder has
// the lease of the zone. Its methods are safe for concurrent use.
type Scheduler struct {
	config Config
	// mu guards core and the fields from there to remoteAllocated.
	mu   sync.Mutex
	core *core
	// lastHeldAt is when this instance was last found to hold the zone.
	lastHeldAt clock.Millis
	draining   bool
	// nextRefreshAt and nextRestoreAt are when core.refresh and core.restore
	// next read the replicated state.
	nextRefreshAt clock.Millis
	nextRestoreAt clock.Millis

	allotments allotments
	// remoteAllocated is the last known allocation of each other zone.
	remoteAllocated map[unit.AvailabilityZone]zoneAllocation

	callers   callers
	proposals proposalQueues
	// calls runs the calls to upstreams and the log, and inFlight counts them.
	calls    errgroup.Group
	inFlight callTracker
	// ctx is done when Run ends. It bounds the calls that outlive the event
	// that caused them.
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
}

// New returns a Scheduler, which schedules once Run is called. New must be
// called before the log starts, since it subscribes to the replicated state.
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

// wakeUp makes Run process a tick soon. It never blocks.
func (s *Scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// process applies an event to the core and executes the resulting effects. The
// event may be nil.
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

// syncLease activates or deactivates the core when the lease of the zone was
// gained or lost. It reports whether tasks may be started now. The caller holds
// s.mu.
func (s *Scheduler) syncLease(now clock.Millis) bool {
	epoch, holds := s.heldEpoch(now)
	if holds {
		s.lastHeldAt = now
		if epoch != s.core.dispatcher.Epoch() {
			s.config.Logger.WithField("Epoch", epoch).Info("started to schedule the availability zone")
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
		s.config.Logger.WithField("Epoch", held).Info("stopped scheduling the availability zone")
		s.core.deactivate(now)
	}
	return false
}

// heldEpoch returns the epoch of the zone's lease and reports whether this
// instance may schedule the zone now. The instance must not schedule before its
// copy of the log contains the epoch, and with it every intent that an earlier
// scheduler was granted.
func (s *Scheduler) heldEpoch(now clock.Millis) (unit.Epoch, bool) {
	epoch, ok := s.config.Holder.HoldsLease(now)
	caughtUp := s.config.State.Zone(s.config.AvailabilityZone).Epoch >= epoch
	return epoch, ok && caughtUp && !s.draining && !s.isZoneLost()
}

// isZoneLost reports whether the operators declared this zone lost. The other
// zones then rely on nothing running here any more.
func (s *Scheduler) isZoneLost() bool {
	config, _ := s.config.State.Config()
	for _, z := range config.AvailabilityZones {
		if z.Name == s.config.AvailabilityZone {
			return z.Lost
		}
	}
	return false
}

// Status describes the queue and the upstreams of a zone to operators.
type Status = queuerStatus

// Status returns the current Status of the zone.
func (s *Scheduler) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.queuer.Status(maxStatusTasks)
}
