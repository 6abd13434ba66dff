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

// errNoLeader is returned by calls to the log's leader while none is known.
var errNoLeader = errors.New("no leader of the log is known")

// loop polls the machine until the context ends.
func (e *Elector) loop(ctx context.Context, g *errgroup.Group) {
	ticker := time.NewTicker(e.machine.PollInterval().Duration())
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

// poll starts the actions that are due.
func (e *Elector) poll(ctx context.Context, g *errgroup.Group) {
	now := e.config.Clock.Now()
	e.mu.Lock()
	actions := e.machine.Poll(now)
	e.mu.Unlock()
	e.startCalls(ctx, g, actions)
}

// startCalls starts a call for each action, unless one of the same kind to the
// same instance is in progress.
func (e *Elector) startCalls(ctx context.Context, g *errgroup.Group, actions []Action) {
	for _, a := range actions {
		to, method := e.target(a)
		c := call{to: to, method: method}
		if !e.beginCall(c) {
			continue
		}
		g.Go(func() error {
			next, err := e.runCall(ctx, c, a)
			if err != nil {
				e.config.Logger.WithError(err).WithField("Method", method).Debug("election call failed")
			}
			// The actions that follow from the reply have timeouts of their own.
			e.startCalls(ctx, g, next)
			return nil
		})
	}
}

// runCall carries out one action, with the lease duration as its timeout.
func (e *Elector) runCall(ctx context.Context, c call, a Action) ([]Action, error) {
	defer e.endCall(c)
	ctx, cancel := context.WithTimeout(ctx, e.config.ZoneLease.Duration())
	defer cancel()
	return e.execute(ctx, c.to, a)
}

// beginCall marks a call as in progress. It returns false if it already is.
func (e *Elector) beginCall(c call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.callsInProgress[c] {
		return false
	}
	e.callsInProgress[c] = true
	return true
}

func (e *Elector) endCall(c call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.callsInProgress, c)
}

// target returns the instance and the method that an action calls.
func (e *Elector) target(a Action) (unit.Instance, instance.Method) {
	switch a := a.(type) {
	case SendRenew:
		return e.config.LogLeader(), MethodRenew
	case SendPromise:
		return a.To, MethodPromise
	case SendAsk:
		return e.config.LogLeader(), MethodAsk
	case SendTake:
		return a.Take.Ticket.Leader, MethodTake
	case Settle:
		return "", "log"
	default:
		panic("elector: unknown type of action")
	}
}

// execute carries out one action, passes the result to the machine and returns
// the actions that follow from it.
func (e *Elector) execute(ctx context.Context, to unit.Instance, a Action) ([]Action, error) {
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
		panic("elector: unknown type of action")
	}
}

func (e *Elector) sendRenew(ctx context.Context, to unit.Instance, r Renew) error {
	sentAt := e.config.Clock.Now()
	reply, err := callPeer[RenewReply](ctx, e, to, MethodRenew, r)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.HandleRenewReply(sentAt, r, reply)
	return nil
}

func (e *Elector) sendPromise(ctx context.Context, s SendPromise) error {
	sentAt := e.config.Clock.Now()
	reply, err := callPeer[PromiseReply](ctx, e, s.To, MethodPromise, s.Promise)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.HandlePromiseReply(sentAt, s.To, s.Promise, reply)
	return nil
}

func (e *Elector) sendAsk(ctx context.Context, to unit.Instance, a Ask) ([]Action, error) {
	reply, err := callPeer[AskReply](ctx, e, to, MethodAsk, a)
	if err != nil {
		return nil, err
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.HandleAskReply(now, a, reply), nil
}

func (e *Elector) sendTake(ctx context.Context, t Take) error {
	sentAt := e.config.Clock.Now()
	reply, err := callPeer[TakeReply](ctx, e, t.Ticket.Leader, MethodTake, t)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.machine.HandleTakeReply(sentAt, t, reply)
	epoch, held := e.machine.Epoch()
	e.mu.Unlock()
	if held {
		e.config.Metrics.Counter("zone_taken").Inc(1)
		e.config.Logger.WithField("Epoch", epoch).Info("this instance schedules the zone")
	}
	return nil
}

// settle commits a TakeZone command that can't change the zone, since no epoch
// equals its Prior. The result has the zone's state at that index of the log.
func (e *Elector) settle(ctx context.Context, s Settle) error {
	command := registrar.TakeZone{AvailabilityZone: e.config.AvailabilityZone, Instance: e.config.Instance, Prior: math.MaxUint64, At: e.config.Clock.Now()}
	result, err := e.config.Propose(ctx, command)
	fenced, isFenced := result.(registrar.Fenced)
	e.mu.Lock()
	defer e.mu.Unlock()
	if isFenced {
		e.machine.Observe(registrar.Zone{Epoch: fenced.Epoch, Holder: fenced.Holder})
	}
	e.machine.HandleSettleResult(s, isFenced)
	return err
}

// callPeer makes one call and decodes the reply.
func callPeer[R any](ctx context.Context, e *Elector, to unit.Instance, method instance.Method, message any) (R, error) {
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

// roundTrip calls a peer, or the local handler if to is this instance.
func (e *Elector) roundTrip(ctx context.Context, to unit.Instance, method instance.Method, body []byte) ([]byte, error) {
	if to == e.config.Instance {
		return e.Handlers()[method](ctx, to, body)
	}
	return e.config.Call.Call(ctx, to, method, body)
}
