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

// The mesh methods that the instance of a zone's scheduler serves.
const (
	MethodSubmit instance.Method = "scheduler.submit"
	MethodResult instance.Method = "scheduler.result"
	MethodCancel instance.Method = "scheduler.cancel"
	MethodReport instance.Method = "scheduler.report"
)

// submitBody is the body of a MethodSubmit call.
type submitBody struct {
	Request dispatcher.Request
	Key     authenticator.KeyID
	Async   bool
}

// submitReply is the reply to a MethodSubmit call.
type submitReply struct {
	// NotHolder is set if the called instance doesn't schedule the zone; it
	// has ignored the request then.
	NotHolder bool
	// Accepted is set if an asynchronous request was accepted; Outcome is then
	// empty.
	Accepted bool
	Outcome  []byte
}

// idBody is the body of a MethodResult or MethodCancel call.
type idBody struct{ Request unit.Request }

// stateReply is the reply to a MethodResult or MethodCancel call: the state of a
// request at its scheduler.
type stateReply struct {
	NotHolder bool
	State     []byte
}

// reportReply is the reply to a MethodReport call.
type reportReply struct {
	NotHolder bool
	Reply     dispatcher.ReportReply
}

// Handlers returns the mesh methods that this instance serves.
func (r *Router) Handlers() map[instance.Method]instance.Handler {
	return map[instance.Method]instance.Handler{
		MethodSubmit: serve(r.serveSubmit),
		MethodResult: serve(r.serveResult),
		MethodCancel: serve(r.serveCancel),
		MethodReport: serve(r.serveReport),
	}
}

// serve returns a mesh handler for a method with typed body and reply.
func serve[Body, Reply any](method func(context.Context, Body) Reply) instance.Handler {
	return func(ctx context.Context, _ unit.Instance, data []byte) ([]byte, error) {
		var body Body
		if err := encoder.Unmarshal(data, &body); err != nil {
			return nil, err
		}
		return encoder.Marshal(method(ctx, body)), nil
	}
}

// callPeer makes a call with typed body and reply. It calls local directly if to
// is this instance.
func callPeer[Body, Reply any](ctx context.Context, r *Router, to unit.Instance, method instance.Method, body Body, local func(context.Context, Body) Reply) (Reply, error) {
	if to == r.config.Self {
		return local(ctx, body), nil
	}
	var reply Reply
	data, err := r.config.Call.Call(ctx, to, method, encoder.Marshal(body))
	if err != nil {
		return reply, err
	}
	return reply, encoder.Unmarshal(data, &reply)
}

// send sends a request once, to the instance that holds the zone according to
// the log.
func (r *Router) send(ctx context.Context, home unit.AvailabilityZone, s Submission) (submitReply, error) {
	holder := r.config.State.Zone(home).Holder
	if holder == "" {
		return submitReply{NotHolder: true}, nil
	}
	body := submitBody{Request: s.Request, Key: s.Key, Async: s.Async}
	return callPeer(ctx, r, holder, MethodSubmit, body, r.serveSubmit)
}

// serveSubmit runs a request at this instance's scheduler. It checks the key
// again, since the entry instance may have been paused after it admitted the
// request.
func (r *Router) serveSubmit(ctx context.Context, b submitBody) submitReply {
	if !r.holdsLease() {
		return submitReply{NotHolder: true}
	}
	if refusal, refused := r.checkKey(b.Key); refused {
		return submitReply{Outcome: dispatcher.MarshalOutcome(dispatcher.NotRun{Refusal: refusal})}
	}
	if b.Async {
		accepted, outcome := r.config.Local.SubmitAsync(ctx, b.Request)
		if accepted {
			return submitReply{Accepted: true}
		}
		return submitReply{Outcome: dispatcher.MarshalOutcome(outcome)}
	}
	return submitReply{Outcome: dispatcher.MarshalOutcome(r.config.Local.Submit(ctx, b.Request))}
}

// checkKey returns the refusal of a key, and whether it is refused.
func (r *Router) checkKey(id authenticator.KeyID) (dispatcher.Refusal, bool) {
	if id == "" {
		return dispatcher.Refusal{}, false
	}
	_, refusal := r.config.Keys.CheckID(id)
	switch refusal {
	case authenticator.Stale:
		return refusalOfKey(dispatcher.ReasonKeysStale), true
	case authenticator.Refused:
		return refusalOfKey(dispatcher.ReasonKeyRefused), true
	default:
		return dispatcher.Refusal{}, false
	}
}

func (r *Router) holdsLease() bool {
	_, holding := r.config.Holder.HoldsLease(r.config.Clock.Now())
	return holding
}

// Result returns the state of a request. The log records requests that were
// accepted or aren't repeatable; if it has the outcome, Result returns that.
// Otherwise Result asks the scheduler of the home zone. The error is ErrNoScheduler
// if that scheduler can't be reached before ctx ends or the retry budget is empty.
func (r *Router) Result(ctx context.Context, clientRequestID string, id unit.Request) (scheduler.RequestState, error) {
	if rec, known := r.config.State.Record(id); known && !rec.Open() {
		outcome, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		return scheduler.Ended{Outcome: outcome}, err
	}
	return r.fetchState(ctx, clientRequestID, id, MethodResult, r.serveResult)
}

// Cancel cancels a request and returns its state. Its errors are those of Result.
func (r *Router) Cancel(ctx context.Context, clientRequestID string, id unit.Request) (scheduler.RequestState, error) {
	return r.fetchState(ctx, clientRequestID, id, MethodCancel, r.serveCancel)
}

// ErrNoScheduler is returned if a zone has no scheduler or it can't be reached.
var ErrNoScheduler = errors.New("the request's home has no scheduler that this instance can reach")

// fetchState calls a method of the home zone's scheduler that returns a
// request's state. It retries within the retry budget.
func (r *Router) fetchState(ctx context.Context, clientRequestID string, id unit.Request, method instance.Method, local func(context.Context, idBody) stateReply) (scheduler.RequestState, error) {
	home, ok := r.homeZone(clientRequestID)
	if !ok {
		return nil, ErrNoScheduler
	}
	for attempt := 0; ; attempt++ {
		holder := r.config.State.Zone(home).Holder
		reply, err := callPeer(ctx, r, holder, method, idBody{Request: id}, local)
		if err == nil && !reply.NotHolder {
			return unmarshalState(reply.State)
		}
		if !r.retryBudget.allowRetry(false) || backoff.Wait(ctx, attempt) != nil {
			return nil, errors.CombineErrors(ErrNoScheduler, err)
		}
	}
}

func (r *Router) serveResult(ctx context.Context, b idBody) stateReply {
	if !r.holdsLease() {
		return stateReply{NotHolder: true}
	}
	return stateReply{State: marshalState(r.config.Local.Result(ctx, b.Request))}
}

func (r *Router) serveCancel(ctx context.Context, b idBody) stateReply {
	if !r.holdsLease() {
		return stateReply{NotHolder: true}
	}
	return stateReply{State: marshalState(r.config.Local.Cancel(ctx, b.Request))}
}

// Report sends an upstream's report to the scheduler of its zone and returns the
// reply.
func (r *Router) Report(ctx context.Context, report dispatcher.Report) (dispatcher.ReportReply, error) {
	holder := r.config.State.Zone(report.AvailabilityZone).Holder
	if holder == "" {
		return dispatcher.ReportReply{}, ErrNoScheduler
	}
	reply, err := callPeer(ctx, r, holder, MethodReport, report, r.serveReport)
	if err != nil {
		return dispatcher.ReportReply{}, err
	}
	if reply.NotHolder {
		return dispatcher.ReportReply{}, ErrNoScheduler
	}
	return reply.Reply, nil
}

func (r *Router) serveReport(ctx context.Context, report dispatcher.Report) reportReply {
	if !r.holdsLease() {
		return reportReply{NotHolder: true}
	}
	reply, err := r.config.Local.Report(ctx, report)
	return reportReply{Reply: reply, NotHolder: err != nil}
}
