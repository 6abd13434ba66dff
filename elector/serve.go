package elector

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// errWrongSender is a message in another instance's name.
var errWrongSender = errors.New("the message names another instance than its sender")

// Handlers returns the mesh methods that this instance serves.
func (e *Elector) Handlers() map[instance.Method]instance.Handler {
	return map[instance.Method]instance.Handler{
		MethodRenew:   handle(e.serveRenew),
		MethodAsk:     handle(e.serveAsk),
		MethodTake:    handle(e.serveTake),
		MethodPromise: handle(e.servePromise),
		MethodRelease: handle(e.serveRelease),
	}
}

// handle decodes the message, calls serve and encodes its answer.
func handle[M, R any](serve func(ctx context.Context, from unit.Instance, m M) (R, error)) instance.Handler {
	return func(ctx context.Context, from unit.Instance, body []byte) ([]byte, error) {
		var m M
		if err := encoder.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		reply, err := serve(ctx, from, m)
		if err != nil {
			return nil, err
		}
		return encoder.Marshal(reply), nil
	}
}

func (e *Elector) leadership() Leadership {
	if e.c.LeaderSince == nil || e.c.ProposeLocal == nil {
		return Leadership{}
	}
	since, ok := e.c.LeaderSince()
	return Leadership{Since: since, Valid: ok}
}

// view returns the leadership and the zone as one: the same leadership was
// valid before and after the zone was read, so no other leader can have
// committed a takeover in between.
func (e *Elector) view(az unit.AvailabilityZone) (Leadership, registrar.Zone) {
	before := e.leadership()
	zone := e.c.State.Zone(az)
	after := e.leadership()
	after.Valid = before.Valid && after.Valid && before.Since == after.Since
	return after, zone
}

func (e *Elector) serveRenew(_ context.Context, from unit.Instance, r Renew) (RenewReply, error) {
	if from != r.Instance {
		return RenewReply{}, errWrongSender
	}
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	l, zone := e.view(r.AvailabilityZone)
	return e.granter.Renew(e.c.Clock.Now(), l, zone, r), nil
}

func (e *Elector) serveAsk(_ context.Context, _ unit.Instance, a Ask) (AskReply, error) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	l, zone := e.view(a.AvailabilityZone)
	return e.granter.Ask(e.c.Clock.Now(), l, zone, a), nil
}

func (e *Elector) serveTake(ctx context.Context, from unit.Instance, t Take) (TakeReply, error) {
	if from != t.Instance {
		return TakeReply{}, errWrongSender
	}
	l, roster, known, ok := e.beginTake(t)
	if !ok {
		return TakeReply{}, nil
	}
	command := registrar.TakeZone{AvailabilityZone: t.AvailabilityZone, Instance: t.Instance, Prior: t.Prior, At: e.c.Clock.Now()}
	result, err := e.c.ProposeLocal(ctx, command)
	var notLeader *replicator.NotLeaderError
	e.endTake(l, t, err == nil || errors.As(err, &notLeader))
	if err != nil {
		return TakeReply{}, err
	}
	taken, is := result.(registrar.ZoneTaken)
	return TakeReply{Taken: is, Epoch: taken.Epoch, Roster: roster, RosterKnown: known}, nil
}

// beginTake also returns the roster of the prior holder: it can't grow any
// more, since no renewal is granted from here on.
func (e *Elector) beginTake(t Take) (l Leadership, r Roster, known, ok bool) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	l, zone := e.view(t.AvailabilityZone)
	ok = e.granter.Begin(e.c.Clock.Now(), l, zone, t)
	r, known = e.granter.Roster(l, t)
	return l, r, known, ok
}

func (e *Elector) endTake(l Leadership, t Take, decided bool) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	e.granter.End(l, t, decided)
}

func (e *Elector) servePromise(_ context.Context, from unit.Instance, p Promise) (PromiseReply, error) {
	if from != p.Instance {
		return PromiseReply{}, errWrongSender
	}
	now := e.c.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.OnPromise(now, p), nil
}

func (e *Elector) serveRelease(_ context.Context, from unit.Instance, r Release) (struct{}, error) {
	if from != r.Instance {
		return struct{}{}, errWrongSender
	}
	e.grantMu.Lock()
	l, zone := e.view(r.AvailabilityZone)
	e.granter.Release(l, zone, r)
	e.grantMu.Unlock()
	e.mu.Lock()
	e.machine.OnRelease(r)
	e.mu.Unlock()
	e.wakeUp()
	return struct{}{}, nil
}
