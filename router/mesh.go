package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

// Methods of the mesh that a scheduler's instance serves for the others.
const (
	MethodSubmit instance.Method = "scheduler.submit"
	MethodResult instance.Method = "scheduler.result"
	MethodCancel instance.Method = "scheduler.cancel"
	MethodReport instance.Method = "scheduler.report"
)

// submitBody carries a request to the scheduler's instance.
type submitBody struct {
	Request dispatcher.Request
	Key     authenticator.KeyID
	Async   bool
}

// submitReply carries the answer back.
type submitReply struct {
	// NotHolder says that the asked instance doesn't schedule the zone; the
	// request was not taken.
	NotHolder bool
	Accepted  bool
	Outcome   []byte
}

// idBody asks for the result or the end of a request.
type idBody struct{ Request unit.Request }

// stateReply is the state of a request at its scheduler.
type stateReply struct {
	NotHolder bool
	State     []byte
}

// reportReply answers an upstream's report.
type reportReply struct {
	NotHolder bool
	Reply     dispatcher.ReportReply
}

// Handlers returns what this instance serves on the mesh.
func (r *Router) Handlers() map[instance.Method]instance.Handler {
	return map[instance.Method]instance.Handler{
		MethodSubmit: serve(r.serveSubmit),
		MethodResult: serve(r.serveResult),
		MethodCancel: serve(r.serveCancel),
		MethodReport: serve(r.serveReport),
	}
}

// serve adapts a typed method to the mesh.
func serve[Body, Reply any](f func(context.Context, Body) Reply) instance.Handler {
	return func(ctx context.Context, _ unit.Instance, data []byte) ([]byte, error) {
		var body Body
		if err := encoder.Unmarshal(data, &body); err != nil {
			return nil, err
		}
		return encoder.Marshal(f(ctx, body)), nil
	}
}

// call makes a typed call, in this process if the peer is this instance.
func call[Body, Reply any](ctx context.Context, r *Router, to unit.Instance, m instance.Method, body Body, here func(context.Context, Body) Reply) (Reply, error) {
	if to == r.c.Self {
		return here(ctx, body), nil
	}
	var reply Reply
	data, err := r.c.Call.Call(ctx, to, m, encoder.Marshal(body))
	if err != nil {
		return reply, err
	}
	return reply, encoder.Unmarshal(data, &reply)
}

// send sends a request once, to the instance that the log names as the holder
// of the zone.
func (r *Router) send(ctx context.Context, home unit.AvailabilityZone, s Submission) (submitReply, error) {
	holder := r.c.State.Zone(home).Holder
	if holder == "" {
		return submitReply{NotHolder: true}, nil
	}
	body := submitBody{Request: s.Request, Key: s.Key, Async: s.Async}
	return call(ctx, r, holder, MethodSubmit, body, r.serveSubmit)
}

// serveSubmit runs a request at this instance's scheduler. The key is checked
// again: the entry may have been paused since it admitted the request.
func (r *Router) serveSubmit(ctx context.Context, b submitBody) submitReply {
	if !r.holding() {
		return submitReply{NotHolder: true}
	}
	if refusal, refused := r.refuseKey(b.Key); refused {
		return submitReply{Outcome: dispatcher.MarshalOutcome(dispatcher.NotRun{Refusal: refusal})}
	}
	if b.Async {
		accepted, outcome := r.c.Local.SubmitAsync(ctx, b.Request)
		if accepted {
			return submitReply{Accepted: true}
		}
		return submitReply{Outcome: dispatcher.MarshalOutcome(outcome)}
	}
	return submitReply{Outcome: dispatcher.MarshalOutcome(r.c.Local.Submit(ctx, b.Request))}
}

func (r *Router) refuseKey(id authenticator.KeyID) (dispatcher.Refusal, bool) {
	if id == "" {
		return dispatcher.Refusal{}, false
	}
	_, refusal := r.c.Keys.CheckID(id)
	switch refusal {
	case authenticator.Stale:
		return keyRefusal(dispatcher.ReasonKeysStale), true
	case authenticator.Refused:
		return keyRefusal(dispatcher.ReasonKeyRefused), true
	default:
		return dispatcher.Refusal{}, false
	}
}

func (r *Router) holding() bool {
	_, holding := r.c.Holder.HoldsLease(r.c.Clock.Now())
	return holding
}

// Result returns the state of a request. The log knows the requests that were
// accepted or not repeatable; the home's scheduler knows the others.
func (r *Router) Result(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error) {
	if rec, known := r.c.State.Record(id); known && !rec.Open() {
		outcome, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		return scheduler.Ended{Outcome: outcome}, err
	}
	return r.askState(ctx, callerID, id, MethodResult, r.serveResult)
}

// Cancel asks for the end of a request.
func (r *Router) Cancel(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error) {
	return r.askState(ctx, callerID, id, MethodCancel, r.serveCancel)
}

// ErrNoScheduler is returned when a zone's scheduler can't be reached.
var ErrNoScheduler = errors.New("the request's home has no scheduler that this instance can reach")

func (r *Router) askState(ctx context.Context, callerID string, id unit.Request, m instance.Method, here func(context.Context, idBody) stateReply) (scheduler.RequestState, error) {
	home, ok := r.home(callerID)
	if !ok {
		return nil, ErrNoScheduler
	}
	for attempt := 0; ; attempt++ {
		holder := r.c.State.Zone(home).Holder
		reply, err := call(ctx, r, holder, m, idBody{Request: id}, here)
		if err == nil && !reply.NotHolder {
			return unmarshalStanding(reply.State)
		}
		if !r.budget.retry(false) || backoff.Wait(ctx, attempt) != nil {
			return nil, errors.CombineErrors(ErrNoScheduler, err)
		}
	}
}

func (r *Router) serveResult(ctx context.Context, b idBody) stateReply {
	if !r.holding() {
		return stateReply{NotHolder: true}
	}
	return stateReply{State: marshalStanding(r.c.Local.Result(ctx, b.Request))}
}

func (r *Router) serveCancel(ctx context.Context, b idBody) stateReply {
	if !r.holding() {
		return stateReply{NotHolder: true}
	}
	return stateReply{State: marshalStanding(r.c.Local.Cancel(ctx, b.Request))}
}

// Report brings an upstream's report to the scheduler of its zone.
func (r *Router) Report(ctx context.Context, report dispatcher.Report) (dispatcher.ReportReply, error) {
	holder := r.c.State.Zone(report.AvailabilityZone).Holder
	if holder == "" {
		return dispatcher.ReportReply{}, ErrNoScheduler
	}
	reply, err := call(ctx, r, holder, MethodReport, report, r.serveReport)
	if err != nil {
		return dispatcher.ReportReply{}, err
	}
	if reply.NotHolder {
		return dispatcher.ReportReply{}, ErrNoScheduler
	}
	return reply.Reply, nil
}

func (r *Router) serveReport(ctx context.Context, report dispatcher.Report) reportReply {
	if !r.holding() {
		return reportReply{NotHolder: true}
	}
	reply, err := r.c.Local.Report(ctx, report)
	return reportReply{Reply: reply, NotHolder: err != nil}
}
