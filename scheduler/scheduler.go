// Package scheduler runs the work of one availability zone.
package scheduler

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Scheduler runs the work of one availability zone while its Holder allows it.
type Scheduler struct {
	c  Config
	mu sync.Mutex
	// workers are the upstreams that reported.
	workers  map[unit.Upstream]dispatcher.Report
	calls    map[unit.Request]*call
	draining bool
	active   sync.WaitGroup
}

type call struct {
	done    chan struct{}
	outcome dispatcher.Outcome
}

// New returns a Scheduler; Run starts it.
func New(c Config) *Scheduler {
	return &Scheduler{c: c, workers: map[unit.Upstream]dispatcher.Report{}, calls: map[unit.Request]*call{}}
}

// Run schedules until the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return g.Wait()
}

// Submit runs a request and waits for its outcome. A resend with the same id
// joins the first and gets the same answer.
func (s *Scheduler) Submit(ctx context.Context, r dispatcher.Request) dispatcher.Outcome {
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonShuttingDown}}
	}
	c, known := s.calls[r.ID]
	if !known {
		c = &call{done: make(chan struct{})}
		s.calls[r.ID] = c
		s.active.Add(1)
	}
	s.mu.Unlock()
	if known {
		<-c.done
		return c.outcome
	}
	defer s.active.Done()
	c.outcome = s.start(ctx, r)
	close(c.done)
	return c.outcome
}

func (s *Scheduler) start(ctx context.Context, r dispatcher.Request) dispatcher.Outcome {
	epoch, ok := s.c.Holder.MayStart(s.c.Clock.Now())
	if !ok {
		return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonNoScheduler}}
	}
	order := dispatcher.StartOrder{
		Task: unit.Task(uuid.NewString()), Request: r.ID, Team: r.Team, Epoch: epoch,
		Lease: s.c.TaskLease, Expiry: s.c.TaskLease, Data: r.Data,
	}
	s.mu.Lock()
	address := ""
	for _, w := range s.workers {
		if !w.Departing {
			address = w.Address
		}
	}
	s.mu.Unlock()
	if address == "" {
		return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded, Detail: "no upstream has room"}}
	}
	reply, err := s.c.Upstreams.Start(ctx, address, order)
	if notSent := (*dispatcher.NotSentError)(nil); errors.As(err, &notSent) {
		return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonUpstreamLost}}
	}
	switch reply := reply.(type) {
	case dispatcher.Finished:
		return reply.Done
	case dispatcher.Refused:
		return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonUpstreamRefused, Detail: reply.Detail}}
	default:
		return dispatcher.Unknown{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonUpstreamLost}}
	}
}

// Accept makes a request durable; it runs later. The Outcome says why it
// wasn't accepted.
func (s *Scheduler) Accept(ctx context.Context, r dispatcher.Request) (bool, dispatcher.Outcome) {
	_, err := s.c.Propose(ctx, registrar.AcceptRequest{Request: r, AvailabilityZone: s.c.AvailabilityZone, At: s.c.Clock.Now()})
	if err != nil {
		return false, dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonLogUnreachable}}
	}
	return true, nil
}

// Result tells what is known of a request.
func (s *Scheduler) Result(_ context.Context, id unit.Request) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.calls[id]
	if !ok {
		return Unheard{}
	}
	select {
	case <-c.done:
		return Ended{c.outcome}
	default:
		return Pending{}
	}
}

// Cancel asks for the end of a request and tells how it then stands.
func (s *Scheduler) Cancel(ctx context.Context, id unit.Request) Standing {
	return s.Result(ctx, id)
}

// Report takes what an upstream says of itself.
func (s *Scheduler) Report(_ context.Context, r dispatcher.Report) (dispatcher.ReportReply, error) {
	epoch, ok := s.c.Holder.MayStart(s.c.Clock.Now())
	if !ok {
		return dispatcher.ReportReply{}, errors.New("this instance doesn't schedule the zone")
	}
	s.mu.Lock()
	s.workers[r.Upstream] = r
	s.mu.Unlock()
	return dispatcher.ReportReply{Epoch: epoch, Lease: s.c.TaskLease}, nil
}

// Status is what the scheduler shows to operators.
type Status struct {
	Upstreams []dispatcher.Report
}

// Status returns the scheduler's view of its zone.
func (s *Scheduler) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var st Status
	for _, w := range s.workers {
		st.Upstreams = append(st.Upstreams, w)
	}
	return st
}

// Drain stops taking work and waits for the calls in progress.
func (s *Scheduler) Drain(context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.active.Wait()
}
