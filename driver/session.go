package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/pooler"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxTickInterval is the longest wait for an event before the next planner tick.
	maxTickInterval = 25 * clock.Millisecond
	// batchDelay is how long events are collected before the planner runs, so that
	// one pass handles all of them.
	batchDelay = 3 * clock.Millisecond
	// leaseCheckInterval is the time between two checks of a lease that isn't valid.
	leaseCheckInterval = 5 * clock.Millisecond
)

// session runs the planner during one leadership.
type session struct {
	d    *Driver
	log  logrus.FieldLogger
	term replicator.Term
	// token is the fencing token of the session's orders.
	token uint64
	ctx   context.Context
	stop  context.CancelFunc
	group errgroup.Group
	// orders runs the calls to upstreams and other instances.
	orders pooler.Pool
	// wake requests a pass of the planner, commitReady a commit of pending. Both have
	// a buffer of one.
	wake        chan struct{}
	commitReady chan struct{}
	// resultUnknown is true if a proposal of the session failed but may still be
	// committed.
	resultUnknown bool

	mu      sync.Mutex
	planner *planner.Planner
	// pending are the outputs of events that aren't committed yet, in their order.
	pending []output
	lag     lag
	// passes and commits are the durations of the planner's passes and of the commits since
	// the last status line.
	passes, commits planner.Span
	// polled is the set of upstreams that have a polling goroutine.
	polled map[unit.Upstream]bool
}

// output is the planner's output for one event: its commands, the effects to execute after
// their commit, and a barrier to close after it, or nil. The commands of an output are
// committed as one entry of the log unless they are too large for that.
type output struct {
	commands []keeper.Command
	effects  []planner.Effect
	barrier  chan struct{}
	// decidedAt is a time between the decisions and their proposal, by Config.BootTime.
	decidedAt clock.Millis
}

func newSession(ctx context.Context, d *Driver, term replicator.Term, token uint64, since clock.Millis) (*session, error) {
	state, err := d.cfg.State.Clone()
	if err != nil {
		return nil, err
	}
	c := d.cfg.Planner
	c.FencingToken = token
	c.LeaderSince = max(since, d.cfg.Clock.Now())
	s := &session{
		d: d, log: d.log.WithField("Term", term), term: term, token: token,
		wake: make(chan struct{}, 1), commitReady: make(chan struct{}, 1),
		planner: planner.New(c, state),
		polled:  map[unit.Upstream]bool{},
	}
	for _, heartbeat := range d.liveTicketRequesters() {
		s.planner.HandleHeartbeat(c.LeaderSince, heartbeat)
	}
	s.ctx, s.stop = context.WithCancel(ctx)
	s.log.WithFields(logrus.Fields{
		"Jobs": len(state.Jobs), "Upstreams": len(state.Upstreams), "ConfigVersion": state.Config.Version,
		"Stopping": s.planner.Status().Stopping, fieldEvacuatedZones: state.SortedEvacuations(),
	}).Info("leader session started")
	return s, nil
}

func (s *session) start() {
	s.group.Go(s.runPlanner)
	s.group.Go(s.runCommits)
	s.group.Go(s.runStatus)
}

// end stops the session and waits for its goroutines.
func (s *session) end(reason string) {
	s.stop()
	_ = s.group.Wait()
	s.orders.Wait()
	s.d.metrics.updateEvacuation(planner.Status{})
	s.d.metrics.updateDelays(timing{})
	s.log.WithField("Reason", reason).Info("leader session ended")
}

func (s *session) isEvacuated(zone unit.AvailabilityZone) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.IsEvacuated(zone)
}

func (s *session) now() clock.Millis { return s.d.cfg.Clock.Now() }

// handleEvent applies an event to the planner, collects the planner's output and
// requests a pass.
func (s *session) handleEvent(event func(p *planner.Planner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event(s.planner)
	s.collectOutput()
	signal(s.wake)
}

// collectOutput moves the planner's commands and effects to pending. The caller must
// hold s.mu.
func (s *session) collectOutput() {
	commands, effects := s.planner.TakeOutput()
	effects = slices.DeleteFunc(effects, func(e planner.Effect) bool {
		request, ok := e.(planner.RequestTickets)
		if ok {
			// A ticket request changes nothing, so it needn't wait for a commit.
			s.orders.Go(func() { s.requestTickets(request) })
		}
		return ok
	})
	if len(commands) == 0 && len(effects) == 0 {
		return
	}
	s.pending = append(s.pending, output{commands: commands, effects: effects, decidedAt: s.d.cfg.BootTime()})
	signal(s.commitReady)
}

// signal sends to c unless a signal is already pending there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleHeartbeat passes a heartbeat to the planner. It waits for no commit and
// requests no pass: a heartbeat changes no durable state, and hundreds of instances
// send several a second.
func (s *session) handleHeartbeat(heartbeat planner.Heartbeat) planner.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.HandleHeartbeat(s.now(), heartbeat)
}

// handleRequest passes a request to the planner and waits for the reply.
func (s *session) handleRequest(ctx context.Context, r planner.Request) planner.Reply {
	replies := make(chan planner.Reply, 1)
	started := time.Now()
	s.handleEvent(func(p *planner.Planner) {
		p.HandleRequest(s.now(), r, func(reply planner.Reply) { replies <- reply })
	})
	select {
	case reply := <-replies:
		s.d.metrics.request.RecordDuration(time.Since(started))
		s.logReply(r, reply)
		return reply
	case <-ctx.Done():
		return planner.Reply{Code: planner.Unknown, Message: "no commit in time"}
	case <-s.ctx.Done():
		return planner.Reply{Code: planner.Unknown, Message: "the holder has changed"}
	}
}

// runPlanner runs a pass of the planner after events, and after maxTickInterval
// without any.
func (s *session) runPlanner() error {
	timer := time.NewTimer(maxTickInterval.Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-s.wake:
			wokenAt := time.Now()
			if clock.Sleep(s.ctx, batchDelay) != nil {
				return nil
			}
			s.mu.Lock()
			s.lag.observe(clock.FromDuration(time.Since(wokenAt)) - batchDelay)
			s.mu.Unlock()
		case <-timer.C:
		}
		passStart := time.Now()
		s.mu.Lock()
		s.planner.Tick(s.now())
		s.collectOutput()
		s.pollNewUpstreams()
		s.passes.Add(clock.FromDuration(time.Since(passStart)))
		s.mu.Unlock()
		if clock.Sleep(s.ctx, planner.PassPause(clock.FromDuration(time.Since(passStart)))) != nil {
			return nil
		}
		timer.Reset(maxTickInterval.Duration())
	}
}

// statusInterval is the time between two log lines with the domain's status.
const statusInterval = 2 * clock.Second

func (s *session) runStatus() error {
	clock.Every(s.ctx, statusInterval, func() {
		s.mu.Lock()
		st := s.planner.Status()
		timing := s.takeTiming()
		s.mu.Unlock()
		s.d.metrics.updateEvacuation(st)
		s.logStatus(st)
		s.logTiming(timing)
	})
	return nil
}

// runCommits commits the pending outputs. Those that are added during a commit are
// committed together in the next one.
func (s *session) runCommits() error {
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-s.commitReady:
		}
		s.mu.Lock()
		outputs := s.pending
		s.pending = nil
		s.mu.Unlock()
		if !s.commit(outputs) {
			// The planner's state contains commands that the log may never contain, so
			// the session can't continue.
			s.stop()
			return nil
		}
	}
}

// commit commits outputs as one entry of the log, or as several if they are too large, and
// executes their effects once the lease is valid. It returns false if the session must end.
func (s *session) commit(outputs []output) bool {
	var commands []keeper.Command
	forecasts := map[keeper.RunKey]*planner.RunForecast{}
	for _, o := range outputs {
		commands = append(commands, o.commands...)
		for _, e := range o.effects {
			if start, ok := e.(planner.Start); ok {
				forecasts[start.Run] = start.Forecast
			}
		}
	}
	entry := keeper.EncodeBatch(commands)
	if len(entry) > replicator.MaxCommandBytes && len(outputs) > 1 {
		half := len(outputs) / 2
		return s.commit(outputs[:half]) && s.commit(outputs[half:])
	}
	if len(commands) > 0 && !s.propose(commands, entry) {
		return false
	}
	// Replies and orders don't wait for the log lines.
	defer s.logCommands(commands, forecasts)
	if !s.awaitLease() {
		return false
	}
	for _, o := range outputs {
		if o.barrier != nil {
			close(o.barrier)
		}
		for _, e := range o.effects {
			s.execute(e, o.decidedAt)
		}
	}
	return true
}

// propose commits commands, which entry encodes. If the entry is too large, it commits them
// in several entries. A leader that fails in between leaves a part of them, which is safe:
// no effect of theirs has been executed, and its successor handles runs that were never
// started and gangs that lack members.
func (s *session) propose(commands []keeper.Command, entry []byte) bool {
	if len(entry) > replicator.MaxCommandBytes && len(commands) > 1 {
		first, second := commands[:len(commands)/2], commands[len(commands)/2:]
		return s.propose(first, keeper.EncodeBatch(first)) && s.propose(second, keeper.EncodeBatch(second))
	}
	started := time.Now()
	if _, err := s.d.cfg.Log.Propose(s.ctx, entry); err != nil {
		s.log.WithError(err).WithField("Bytes", len(entry)).Warn("a batch of commands was not committed, or its result is unknown")
		s.resultUnknown = !errors.As(err, new(*replicator.NotLeaderError)) && !errors.Is(err, replicator.ErrTooLarge)
		return false
	}
	took := time.Since(started)
	s.d.metrics.commit.RecordDuration(took)
	s.mu.Lock()
	s.commits.Add(clock.FromDuration(took))
	s.mu.Unlock()
	return true
}

// awaitLease waits until the lease is valid. It returns false if the session ended
// first.
func (s *session) awaitLease() bool {
	for !s.d.holdsLease(s.term) {
		if clock.Sleep(s.ctx, leaseCheckInterval) != nil {
			return false
		}
	}
	return true
}

// barrier returns a channel that is closed once everything decided so far is
// committed. The caller must hold s.mu.
func (s *session) barrier() <-chan struct{} {
	done := make(chan struct{})
	s.pending = append(s.pending, output{barrier: done})
	signal(s.commitReady)
	return done
}
