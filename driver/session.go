package driver

import (
	"context"
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
	// planEvery is the longest time between two ticks of the planner.
	planEvery = 25 * clock.Millisecond
	// gatherFor is how long events are gathered before the planner plans anew:
	// one pass then serves them all.
	gatherFor = 3 * clock.Millisecond
	// leasePoll is the time between two looks at a lease that isn't valid.
	leasePoll = 5 * clock.Millisecond
)

// session is one leadership's work.
type session struct {
	d    *Driver
	log  logrus.FieldLogger
	term replicator.Term
	// token fences the orders.
	token uint64
	ctx   context.Context
	stop  context.CancelFunc
	group errgroup.Group
	// orders runs what is sent to others.
	orders pooler.Pool
	// wake asks for a pass of the planner, commit for a commit.
	wake   chan struct{}
	commit chan struct{}
	// unsure: a proposal of the session may still be committed.
	unsure bool

	mu      sync.Mutex
	planner *planner.Planner
	next    batch
	lag     lag
	// looked are the upstreams that have a goroutine.
	looked map[unit.Upstream]bool
}

// batch is what is committed together, and what may happen after that.
type batch struct {
	commands []keeper.Command
	effects  []planner.Effect
	barriers []chan struct{}
}

func newSession(ctx context.Context, d *Driver, term replicator.Term, token uint64, since clock.Millis) (*session, error) {
	state := keeper.New()
	if err := state.Restore(d.cfg.State.Snapshot()); err != nil {
		return nil, err
	}
	c := d.cfg.Planner
	c.FencingToken = token
	c.LeaderSince = max(since, d.cfg.Clock.Now())
	s := &session{
		d: d, log: d.log.WithField("Term", term), term: term, token: token,
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1),
		planner: planner.New(c, state),
		looked:  map[unit.Upstream]bool{},
	}
	for _, id := range d.present() {
		s.planner.HandleHeartbeat(c.LeaderSince, planner.Heartbeat{From: id, RequestsTickets: true})
	}
	s.ctx, s.stop = context.WithCancel(ctx)
	s.log.WithFields(logrus.Fields{
		"Jobs": len(state.Jobs), "Upstreams": len(state.Upstreams), "ConfigVersion": state.Config.Version,
	}).Info("holding the domain")
	return s, nil
}

func (s *session) start() {
	s.group.Go(s.runPlanner)
	s.group.Go(s.runCommits)
	s.group.Go(s.runStatus)
}

// end ends the session and returns once its goroutines have ended.
func (s *session) end(why string) {
	s.stop()
	_ = s.group.Wait()
	s.orders.Wait()
	s.log.WithField("Reason", why).Info("no longer holding the domain")
}

func (s *session) now() clock.Millis { return s.d.cfg.Clock.Now() }

// do gives the planner an event and takes what it decided.
func (s *session) do(f func(p *planner.Planner)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.planner)
	s.collect()
	signal(s.wake)
}

// collect is called with the lock held.
func (s *session) collect() {
	c, e := s.planner.TakeOutput()
	if len(c) == 0 && len(e) == 0 {
		return
	}
	s.next.commands = append(s.next.commands, c...)
	s.next.effects = append(s.next.effects, e...)
	signal(s.commit)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// attend gives the planner a sign of life. It changes nothing durable, and
// hundreds of instances send several a second, so it waits for no commit and asks
// for no pass.
func (s *session) attend(sign planner.Heartbeat) planner.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.HandleHeartbeat(s.now(), sign)
}

// ask gives the planner a request and waits for its reply.
func (s *session) ask(ctx context.Context, r planner.Request) planner.Reply {
	answer := make(chan planner.Reply, 1)
	started := time.Now()
	s.do(func(p *planner.Planner) {
		p.HandleRequest(s.now(), r, func(a planner.Reply) { answer <- a })
	})
	select {
	case a := <-answer:
		s.d.metrics.request.RecordDuration(time.Since(started))
		s.logReply(r, a)
		return a
	case <-ctx.Done():
		return planner.Reply{Code: planner.Unknown, Message: "no commit in time"}
	case <-s.ctx.Done():
		return planner.Reply{Code: planner.Unknown, Message: "the holder has changed"}
	}
}

// runPlanner plans after events and from time to time.
func (s *session) runPlanner() error {
	timer := time.NewTimer(planEvery.Duration())
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-s.wake:
			asked := time.Now()
			if clock.Sleep(s.ctx, gatherFor) != nil {
				return nil
			}
			s.mu.Lock()
			s.lag.note(clock.FromDuration(time.Since(asked)) - gatherFor)
			s.mu.Unlock()
		case <-timer.C:
		}
		began := time.Now()
		s.mu.Lock()
		s.planner.Tick(s.now())
		s.collect()
		s.followUpstreams()
		s.mu.Unlock()
		if clock.Sleep(s.ctx, rest(clock.FromDuration(time.Since(began)))) != nil {
			return nil
		}
		timer.Reset(planEvery.Duration())
	}
}

// statusEvery is the time between two lines on what waits and why.
const statusEvery = 2 * clock.Second

func (s *session) runStatus() error {
	clock.Every(s.ctx, statusEvery, func() {
		s.mu.Lock()
		st := s.planner.Status()
		s.mu.Unlock()
		s.logStatus(st)
	})
	return nil
}

// runCommits commits one batch at a time; what is decided meanwhile is the next
// one.
func (s *session) runCommits() error {
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case <-s.commit:
		}
		s.mu.Lock()
		b := s.next
		s.next = batch{}
		s.mu.Unlock()
		if !s.commitBatch(b) {
			// The state here may be ahead of the log for ever.
			s.stop()
			return nil
		}
	}
}

func (s *session) commitBatch(b batch) bool {
	if len(b.commands) > 0 {
		started := time.Now()
		if _, err := s.d.cfg.Log.Propose(s.ctx, keeper.EncodeBatch(b.commands)); err != nil {
			s.log.WithError(err).Warn("a batch of commands has no sure result")
			s.unsure = !errors.As(err, new(*replicator.NotLeaderError))
			return false
		}
		s.d.metrics.commit.RecordDuration(time.Since(started))
		s.logCommands(b.commands)
	}
	if !s.awaitLease() {
		return false
	}
	for _, c := range b.barriers {
		close(c)
	}
	for _, e := range b.effects {
		s.carryOut(e)
	}
	return true
}

// awaitLease waits until the lease is valid; false if the session ended first.
func (s *session) awaitLease() bool {
	for !s.d.isHolding(s.term) {
		if clock.Sleep(s.ctx, leasePoll) != nil {
			return false
		}
	}
	return true
}

// barrier returns what is closed once everything decided so far is committed.
// It is called with the lock held.
func (s *session) barrier() <-chan struct{} {
	c := make(chan struct{})
	s.next.barriers = append(s.next.barriers, c)
	signal(s.commit)
	return c
}
