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

// errWrongSender rejects a message that names another instance than its sender.
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

// handle returns a handler that decodes the message, calls serve and encodes the
// reply.
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

// leadership returns the current leadership of this instance; not valid if it
// doesn't lead the log.
func (e *Elector) leadership() Leadership {
	if e.config.LeaderSince == nil || e.config.ProposeLocal == nil {
		return Leadership{}
	}
	since, ok := e.config.LeaderSince()
	return Leadership{Since: since, Valid: ok}
}

// leadershipAndZone returns a consistent pair of the leadership and the zone. The
// leadership is valid only if it was so before and after the zone was read, so
// that no other leader can have committed a takeover in between.
func (e *Elector) leadershipAndZone(az unit.AvailabilityZone) (Leadership, registrar.Zone) {
	before := e.leadership()
	zone := e.config.State.Zone(az)
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
	l, zone := e.leadershipAndZone(r.AvailabilityZone)
	return e.granter.HandleRenew(e.config.Clock.Now(), l, zone, r), nil
}

func (e *Elector) serveAsk(_ context.Context, _ unit.Instance, a Ask) (AskReply, error) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	l, zone := e.leadershipAndZone(a.AvailabilityZone)
	return e.granter.HandleAsk(e.config.Clock.Now(), l, zone, a), nil
}

func (e *Elector) serveTake(ctx context.Context, from unit.Instance, t Take) (TakeReply, error) {
	if from != t.Instance {
		return TakeReply{}, errWrongSender
	}
	l, roster, known, ok := e.beginTake(t)
	if !ok {
		return TakeReply{}, nil
	}
	command := registrar.TakeZone{AvailabilityZone: t.AvailabilityZone, Instance: t.Instance, Prior: t.Prior, At: e.config.Clock.Now()}
	result, err := e.config.ProposeLocal(ctx, command)
	var notLeader *replicator.NotLeaderError
	e.endTake(l, t, err == nil || errors.As(err, &notLeader))
	if err != nil {
		return TakeReply{}, err
	}
	taken, isTaken := result.(registrar.ZoneTaken)
	return TakeReply{Taken: isTaken, Epoch: taken.Epoch, Roster: roster, RosterKnown: known}, nil
}

// beginTake calls BeginTake and returns the roster of the prior holder too. That
// roster can't grow any more, since no renewal is granted from here on.
func (e *Elector) beginTake(t Take) (l Leadership, roster Roster, known, ok bool) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	l, zone := e.leadershipAndZone(t.AvailabilityZone)
	ok = e.granter.BeginTake(e.config.Clock.Now(), l, zone, t)
	roster, known = e.granter.Roster(l, t)
	return l, roster, known, ok
}

func (e *Elector) endTake(l Leadership, t Take, decided bool) {
	e.grantMu.Lock()
	defer e.grantMu.Unlock()
	e.granter.EndTake(l, t, decided)
}

func (e *Elector) servePromise(_ context.Context, from unit.Instance, p Promise) (PromiseReply, error) {
	if from != p.Instance {
		return PromiseReply{}, errWrongSender
	}
	now := e.config.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.HandlePromise(now, p), nil
}

func (e *Elector) serveRelease(_ context.Context, from unit.Instance, r Release) (struct{}, error) {
	if from != r.Instance {
		return struct{}{}, errWrongSender
	}
	e.grantMu.Lock()
	l, zone := e.leadershipAndZone(r.AvailabilityZone)
	e.granter.HandleRelease(l, zone, r)
	e.grantMu.Unlock()
	e.mu.Lock()
	e.machine.HandleRelease(r)
	e.mu.Unlock()
	e.wakeUp()
	return struct{}{}, nil
}
