package scheduler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// errNotHere says that the asked instance doesn't hold the zone.
var errNotHere = errors.New("not the holder")

// errGone says that the entry instance died under the caller.
var errGone = errors.New("the entry instance is gone")

// forward brings an upstream's report to the zone's scheduler by way of the
// entry instances that it reaches.
func (w *world) forward(u *fakeUpstream, r dispatcher.Report) (dispatcher.ReportReply, bool) {
	for _, name := range w.names {
		n := w.node(name)
		if n.zone != u.zone || !n.isUp() || w.isCut(string(u.id), string(name)) {
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		reply, err := exchange(ctx, n, n.state.Zone(u.zone).Holder, func(ctx context.Context, h *node) (dispatcher.ReportReply, error) {
			return h.sched.Report(ctx, w.flaw.report(r))
		})
		cancel()
		if err == nil {
			return reply, !w.isCut(string(name), string(u.id))
		}
	}
	return dispatcher.ReportReply{}, false
}

// send submits a request to the zone's scheduler by way of an entry instance,
// as the router does: it sends again what surely wasn't received or has moved,
// until there is an answer or the deadline has passed.
func (w *world) send(entry unit.Instance, zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) (dispatcher.Outcome, error) {
	w.obs.submits(r)
	n := w.node(entry)
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	uncertain := false
	for ctx.Err() == nil {
		if n.isDead() {
			return nil, errGone
		}
		outcome, err := w.sendOnce(ctx, n, zone, r)
		if n.isDead() {
			return nil, errGone
		}
		switch {
		case err == nil && (w.flaw.cutsOff || !dispatcher.HolderChanged(outcome)):
			if notRun, is := outcome.(dispatcher.NotRun); is && uncertain && r.Repeatable {
				outcome = dispatcher.Unknown(notRun)
			}
			return outcome, nil
		case err == nil:
			_, unknown := outcome.(dispatcher.Unknown)
			uncertain = uncertain || unknown
		default:
			uncertain = uncertain || mayBeDelivered(err)
		}
		r.Fresh = r.Fresh && !uncertain
		time.Sleep(50 * time.Millisecond)
	}
	if uncertain || !r.Fresh {
		return dispatcher.Unknown{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonNoScheduler}}, nil
	}
	return dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonNoScheduler}}, nil
}

func (w *world) sendOnce(ctx context.Context, n *node, zone unit.AvailabilityZone, r dispatcher.Request) (dispatcher.Outcome, error) {
	deadline, _ := ctx.Deadline()
	r.Timeout = clock.FromDuration(time.Until(deadline))
	return exchange(ctx, n, n.state.Zone(zone).Holder, func(ctx context.Context, h *node) (dispatcher.Outcome, error) {
		if _, holds := h.elect.HoldsLease(h.clk.Now()); !holds {
			return nil, errNotHere
		}
		w.reached(received, r.ID)
		if !h.thaw() {
			return nil, errLost
		}
		o := h.sched.Submit(ctx, w.flaw.request(r))
		w.reached(returned, r.ID)
		return o, nil
	})
}

func mayBeDelivered(err error) bool {
	var call *instance.CallError
	if errors.As(err, &call) {
		return call.MaybeDelivered
	}
	return !errors.Is(err, errNotHere)
}

// call sends a request and notes what its caller is told. A caller whose entry
// instance dies sends the same id by way of the next one.
func (w *world) call(entries []unit.Instance, zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) dispatcher.Outcome {
	end := time.Now().Add(timeout)
	for try := 0; w.ctx.Err() == nil && time.Until(end) > 0; try++ {
		o, err := w.send(entries[try%len(entries)], zone, r, time.Until(end))
		if err == nil {
			w.obs.told(r.ID, o)
			return o
		}
		r.Fresh = false
		time.Sleep(50 * time.Millisecond)
	}
	o := dispatcher.Unknown{}
	w.obs.told(r.ID, o)
	return o
}

// accept has a request accepted and returns its result, by asking again and
// again.
func (w *world) accept(zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) dispatcher.Outcome {
	w.obs.submits(r)
	end := time.Now().Add(timeout)
	accepted := false
	for w.ctx.Err() == nil && time.Until(end) > 0 {
		o, done := w.acceptOnce(zone, r, &accepted)
		if done {
			w.obs.told(r.ID, o)
			return o
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (w *world) acceptOnce(zone unit.AvailabilityZone, r dispatcher.Request, accepted *bool) (dispatcher.Outcome, bool) {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	n := w.node("b2")
	if !n.isUp() {
		return nil, false
	}
	holder := n.state.Zone(zone).Holder
	if !*accepted {
		ok, err := exchange(ctx, n, holder, func(ctx context.Context, h *node) (bool, error) {
			w.reached(received, r.ID)
			ok, _ := h.sched.SubmitAsync(ctx, r)
			return ok, nil
		})
		*accepted = err == nil && ok
		return nil, false
	}
	standing, err := exchange(ctx, n, holder, func(ctx context.Context, h *node) (RequestState, error) { return h.sched.Result(ctx, r.ID), nil })
	if err != nil {
		return nil, false
	}
	if e, is := standing.(Ended); is && !dispatcher.HolderChanged(e.Outcome) {
		w.reached(returned, r.ID)
		return e.Outcome, true
	}
	return nil, false
}

// shutDown ends an instance gracefully.
func (w *world) shutDown(name unit.Instance) {
	n := w.node(name)
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	n.sched.Drain(ctx)
	// The entry's own calls end before the process does; what the release
	// can't reach only delays the takeover.
	_ = n.elect.Release(ctx)
	time.Sleep(time.Second)
	w.kill(name)
}
