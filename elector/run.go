package elector

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// errNoLeader says that no leader of the log is known.
var errNoLeader = errors.New("no leader of the log is known")

// loop polls the machine until the context ends.
func (e *Elector) loop(ctx context.Context, g *errgroup.Group) {
	ticker := time.NewTicker(e.machine.PollEvery().Duration())
	defer ticker.Stop()
	for {
		e.poll(ctx, g)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.wake:
		}
	}
}

// poll carries out what the machine has due.
func (e *Elector) poll(ctx context.Context, g *errgroup.Group) {
	now := e.c.Clock.Now()
	e.mu.Lock()
	actions := e.machine.Poll(now)
	e.mu.Unlock()
	e.carryOut(ctx, g, actions)
}

func (e *Elector) carryOut(ctx context.Context, g *errgroup.Group, actions []Action) {
	for _, a := range actions {
		to, method := e.target(a)
		c := call{to: to, method: method}
		if !e.begin(c) {
			continue
		}
		g.Go(func() error {
			next, err := e.call(ctx, c, a)
			if err != nil {
				e.c.Logger.WithError(err).WithField("Method", method).Debug("a call of the election failed")
			}
			// What follows from the answer has a time limit of its own.
			e.carryOut(ctx, g, next)
			return nil
		})
	}
}

// call carries out one action within a lease time.
func (e *Elector) call(ctx context.Context, c call, a Action) ([]Action, error) {
	defer e.end(c)
	ctx, cancel := context.WithTimeout(ctx, e.c.ZoneLease.Duration())
	defer cancel()
	return e.act(ctx, c.to, a)
}

// begin notes a call in progress. It reports false if there is one already.
func (e *Elector) begin(c call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calling[c] {
		return false
	}
	e.calling[c] = true
	return true
}

func (e *Elector) end(c call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calling, c)
}

// target returns whom an action calls.
func (e *Elector) target(a Action) (unit.Instance, instance.Method) {
	switch a := a.(type) {
	case SendRenew:
		return e.c.LogLeader(), MethodRenew
	case SendPromise:
		return a.To, MethodPromise
	case SendAsk:
		return e.c.LogLeader(), MethodAsk
	case SendTake:
		return a.Take.Ticket.Leader, MethodTake
	case Settle:
		return "", "log"
	default:
		panic("elector: action without a case")
	}
}

// act carries out one action, brings the answer back to the machine and returns
// what follows from it.
func (e *Elector) act(ctx context.Context, to unit.Instance, a Action) ([]Action, error) {
	switch a := a.(type) {
	case SendRenew:
		return nil, e.sendRenew(ctx, to, a.Renew)
	case SendPromise:
		return nil, e.sendPromise(ctx, a)
	case SendAsk:
		return e.sendAsk(ctx, to, a.Ask)
	case SendTake:
		return nil, e.sendTake(ctx, a.Take)
	case Settle:
		return nil, e.settle(ctx, a)
	default:
		panic("elector: action without a case")
	}
}

func (e *Elector) sendRenew(ctx context.Context, to unit.Instance, r Renew) error {
	sentAt := e.c.Clock.Now()
	reply, err := ask[RenewReply](ctx, e, to, MethodRenew, r)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Renewed(sentAt, r, reply)
	return nil
}

func (e *Elector) sendPromise(ctx context.Context, s SendPromise) error {
	sentAt := e.c.Clock.Now()
	reply, err := ask[PromiseReply](ctx, e, s.To, MethodPromise, s.Promise)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Promised(sentAt, s.To, s.Promise, reply)
	return nil
}

func (e *Elector) sendAsk(ctx context.Context, to unit.Instance, a Ask) ([]Action, error) {
	reply, err := ask[AskReply](ctx, e, to, MethodAsk, a)
	if err != nil {
		return nil, err
	}
	now := e.c.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Asked(now, a, reply), nil
}

func (e *Elector) sendTake(ctx context.Context, t Take) error {
	sentAt := e.c.Clock.Now()
	reply, err := ask[TakeReply](ctx, e, t.Ticket.Leader, MethodTake, t)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.machine.Taken(sentAt, t, reply)
	epoch, held := e.machine.Epoch()
	e.mu.Unlock()
	if held {
		e.c.Metrics.Counter("zone_taken").Inc(1)
		e.c.Logger.WithField("Epoch", epoch).Info("this instance schedules the zone")
	}
	return nil
}

// settle commits a command that can't change the zone, since no epoch equals
// its Prior; its result tells how the zone stands at that place of the log.
func (e *Elector) settle(ctx context.Context, s Settle) error {
	command := registrar.TakeZone{AvailabilityZone: e.c.AvailabilityZone, Instance: e.c.Instance, Prior: math.MaxUint64, At: e.c.Clock.Now()}
	result, err := e.c.Propose(ctx, command)
	fenced, is := result.(registrar.Fenced)
	e.mu.Lock()
	defer e.mu.Unlock()
	if is {
		e.machine.Observe(registrar.Zone{Epoch: fenced.Epoch, Holder: fenced.Holder})
	}
	e.machine.Settled(s, is)
	return err
}

// ask makes one call and decodes its answer.
func ask[R any](ctx context.Context, e *Elector, to unit.Instance, method instance.Method, message any) (R, error) {
	var reply R
	if to == "" {
		return reply, errNoLeader
	}
	body := encoder.Marshal(message)
	data, err := e.roundTrip(ctx, to, method, body)
	if err != nil {
		return reply, err
	}
	return reply, encoder.Unmarshal(data, &reply)
}

// roundTrip calls a peer, or this instance's own handler.
func (e *Elector) roundTrip(ctx context.Context, to unit.Instance, method instance.Method, body []byte) ([]byte, error) {
	if to == e.c.Instance {
		return e.Handlers()[method](ctx, to, body)
	}
	return e.c.Call.Call(ctx, to, method, body)
}
