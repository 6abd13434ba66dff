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

// errNotZoneHolder is the error of an instance that doesn't hold the zone.
var errNotZoneHolder = errors.New("instance doesn't hold the zone")

// errEntryDead is the error of a submission whose entry instance died.
var errEntryDead = errors.New("entry instance died")

// forwardReport sends an upstream's report to the scheduler of the zone through the
// first reachable instance of the zone that succeeds.
func (sim *simulation) forwardReport(u *fakeUpstream, r dispatcher.Report) (dispatcher.ReportReply, bool) {
	for _, name := range sim.names {
		n := sim.node(name)
		if n.zone != u.zone || !n.isUp() || sim.isBlocked(string(u.id), string(name)) {
			continue
		}
		ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
		reply, err := exchange(ctx, n, n.state.Zone(u.zone).Holder, func(ctx context.Context, h *node) (dispatcher.ReportReply, error) {
			return h.scheduler.Report(ctx, sim.defect.report(r))
		})
		cancel()
		if err == nil {
			return reply, !sim.isBlocked(string(name), string(u.id))
		}
	}
	return dispatcher.ReportReply{}, false
}

// send submits a request to the scheduler of a zone through an entry instance, as
// the router does. It resends the request after an error or a change of the zone's
// holder, until there is an answer or the deadline has passed.
func (sim *simulation) send(entry unit.Instance, zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) (dispatcher.Outcome, error) {
	sim.obs.recordSubmission(r)
	n := sim.node(entry)
	ctx, cancel := context.WithTimeout(sim.ctx, timeout)
	defer cancel()
	uncertain := false
	for ctx.Err() == nil {
		if n.isDead() {
			return nil, errEntryDead
		}
		outcome, err := sim.sendOnce(ctx, n, zone, r)
		if n.isDead() {
			return nil, errEntryDead
		}
		switch {
		case err == nil && (sim.defect.keepsHandedBack || !dispatcher.HolderChanged(outcome)):
			if notRun, ok := outcome.(dispatcher.NotRun); ok && uncertain && r.Repeatable {
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

func (sim *simulation) sendOnce(ctx context.Context, n *node, zone unit.AvailabilityZone, r dispatcher.Request) (dispatcher.Outcome, error) {
	deadline, _ := ctx.Deadline()
	r.Timeout = clock.FromDuration(time.Until(deadline))
	return exchange(ctx, n, n.state.Zone(zone).Holder, func(ctx context.Context, h *node) (dispatcher.Outcome, error) {
		if _, holds := h.elector.HoldsLease(h.clock.Now()); !holds {
			return nil, errNotZoneHolder
		}
		sim.reachStep(received, r.ID)
		if !h.awaitThaw() {
			return nil, errMessageLost
		}
		o := h.scheduler.Submit(ctx, sim.defect.request(r))
		sim.reachStep(returned, r.ID)
		return o, nil
	})
}

// mayBeDelivered reports whether a failed call may have reached the scheduler.
func mayBeDelivered(err error) bool {
	var call *instance.CallError
	if errors.As(err, &call) {
		return call.MaybeDelivered
	}
	return !errors.Is(err, errNotZoneHolder)
}

// callUntilAnswered sends a request and records the outcome that its caller gets.
// If the entry instance dies, the caller resends the same id through the next one.
func (sim *simulation) callUntilAnswered(entries []unit.Instance, zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) dispatcher.Outcome {
	end := time.Now().Add(timeout)
	for try := 0; sim.ctx.Err() == nil && time.Until(end) > 0; try++ {
		o, err := sim.send(entries[try%len(entries)], zone, r, time.Until(end))
		if err == nil {
			sim.obs.recordOutcome(r.ID, o)
			return o
		}
		r.Fresh = false
		time.Sleep(50 * time.Millisecond)
	}
	o := dispatcher.Unknown{}
	sim.obs.recordOutcome(r.ID, o)
	return o
}

// acceptAndAwait submits a request for acceptance and polls its result. It returns
// nil if the timeout passes.
func (sim *simulation) acceptAndAwait(zone unit.AvailabilityZone, r dispatcher.Request, timeout time.Duration) dispatcher.Outcome {
	sim.obs.recordSubmission(r)
	end := time.Now().Add(timeout)
	accepted := false
	for sim.ctx.Err() == nil && time.Until(end) > 0 {
		o, done := sim.acceptOnce(zone, r, &accepted)
		if done {
			sim.obs.recordOutcome(r.ID, o)
			return o
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (sim *simulation) acceptOnce(zone unit.AvailabilityZone, r dispatcher.Request, accepted *bool) (dispatcher.Outcome, bool) {
	ctx, cancel := context.WithTimeout(sim.ctx, 2*time.Second)
	defer cancel()
	n := sim.node("b2")
	if !n.isUp() {
		return nil, false
	}
	holder := n.state.Zone(zone).Holder
	if !*accepted {
		ok, err := exchange(ctx, n, holder, func(ctx context.Context, h *node) (bool, error) {
			sim.reachStep(received, r.ID)
			ok, _ := h.scheduler.SubmitAsync(ctx, r)
			return ok, nil
		})
		*accepted = err == nil && ok
		return nil, false
	}
	state, err := exchange(ctx, n, holder, func(ctx context.Context, h *node) (RequestState, error) { return h.scheduler.Result(ctx, r.ID), nil })
	if err != nil {
		return nil, false
	}
	if e, ok := state.(Ended); ok && !dispatcher.HolderChanged(e.Outcome) {
		sim.reachStep(returned, r.ID)
		return e.Outcome, true
	}
	return nil, false
}

// shutDown drains an instance, releases its lease and then ends its process.
func (sim *simulation) shutDown(name unit.Instance) {
	n := sim.node(name)
	ctx, cancel := context.WithTimeout(sim.ctx, 5*time.Second)
	defer cancel()
	n.scheduler.Drain(ctx)
	// A failed release only delays the takeover. The sleep lets the calls that
	// entered through this instance end before the process does.
	_ = n.elector.Release(ctx)
	time.Sleep(time.Second)
	sim.killInstance(name)
}
