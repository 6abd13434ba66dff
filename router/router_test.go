package router

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// fakeReply returns the result of one call of a fakeMesh.
type fakeReply func(body submitBody) (submitReply, error)

func repliesWith(o dispatcher.Outcome) fakeReply {
	return func(submitBody) (submitReply, error) {
		return submitReply{Outcome: dispatcher.MarshalOutcome(o)}, nil
	}
}

func failsWith(maybeDelivered bool) fakeReply {
	return func(submitBody) (submitReply, error) {
		return submitReply{}, &instance.CallError{Peer: "b1", MaybeDelivered: maybeDelivered, Cause: errors.New("connection lost")}
	}
}

func repliesNotHolder(submitBody) (submitReply, error) { return submitReply{NotHolder: true}, nil }

// fakeMesh answers calls with its replies in turn, and repeats the last one.
type fakeMesh struct {
	replies     []fakeReply
	sentIDs     []unit.Request
	lastRequest dispatcher.Request
}

func (f *fakeMesh) Call(_ context.Context, _ unit.Instance, _ instance.Method, data []byte) ([]byte, error) {
	var body submitBody
	if err := encoder.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	f.sentIDs = append(f.sentIDs, body.Request.ID)
	f.lastRequest = body.Request
	next := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	reply, err := next(body)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(reply), nil
}

// newRouter returns the router of instance a1, in a fleet where instance b1
// holds zone b.
func newRouter(t *testing.T, mesh *fakeMesh) *Router {
	t.Helper()
	state := registrar.New()
	apply := func(i replicator.Index, c registrar.Command) { state.Apply(i, registrar.EncodeCommand(c)) }
	apply(1, registrar.PutConfig{Text: []byte("AvailabilityZones:\n  - Name: a\n  - Name: b\n")})
	apply(2, registrar.TakeZone{AvailabilityZone: "b", Instance: "b1"})
	logger := logrus.New()
	return New(Config{
		Self: "a1", AvailabilityZone: "a", State: state, Call: mesh, Logger: logger,
		Metrics: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
	})
}

// TestSubmitOutcomeAfterResends checks that a resend keeps the request's id, and
// that NotRun becomes Unknown if an earlier send of a repeatable request may have
// been delivered. A withdrawn key is refused before the log is searched, so its
// refusal says nothing about an earlier send of any request.
func TestSubmitOutcomeAfterResends(t *testing.T) {
	refused := dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded}}
	withdrawn := dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonKeyRefused}}
	done := dispatcher.Done{Answer: []byte("whole answer")}
	cases := map[string]struct {
		answers    []fakeReply
		repeatable bool
		want       dispatcher.Outcome
		sends      int
	}{
		"answered":                                 {answers: []fakeReply{repliesWith(done)}, want: done, sends: 1},
		"refused":                                  {answers: []fakeReply{repliesWith(refused)}, want: refused, sends: 1},
		"never delivered, then answered":           {answers: []fakeReply{failsWith(false), repliesWith(done)}, want: done, sends: 2},
		"never delivered, then refused":            {answers: []fakeReply{failsWith(false), repliesWith(refused)}, repeatable: true, want: refused, sends: 2},
		"reply lost, then answered":                {answers: []fakeReply{failsWith(true), repliesWith(done)}, want: done, sends: 2},
		"reply lost, then refused, repeatable":     {answers: []fakeReply{failsWith(true), repliesWith(refused)}, repeatable: true, want: dispatcher.Unknown(refused), sends: 2},
		"reply lost, then refused, not repeatable": {answers: []fakeReply{failsWith(true), repliesWith(refused)}, want: refused, sends: 2},
		"reply lost, then key withdrawn":           {answers: []fakeReply{failsWith(true), repliesWith(withdrawn)}, want: dispatcher.Unknown(withdrawn), sends: 2},
		"never delivered, then key withdrawn":      {answers: []fakeReply{failsWith(false), repliesWith(withdrawn)}, want: withdrawn, sends: 2},
		"sent to a former holder first":            {answers: []fakeReply{repliesNotHolder, repliesWith(done)}, want: done, sends: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mesh := &fakeMesh{replies: c.answers}
			r := newRouter(t, mesh)
			_, outcome, accepted := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", Request: dispatcher.Request{ID: "acc/b.1", Repeatable: c.repeatable, Timeout: clock.Minute},
			})
			is.True(!accepted)
			is.Equal(outcome, c.want)
			is.Equal(len(mesh.sentIDs), c.sends)
			for _, id := range mesh.sentIDs {
				is.Equal(id, unit.Request("acc/b.1")) // a resend keeps the id
			}
		})
	}
}

// TestSubmitWithoutReply checks that a request without a reply ends as NotRun
// only if no send can have been delivered.
func TestSubmitWithoutReply(t *testing.T) {
	cases := map[string]struct {
		answer  fakeReply
		unknown bool
	}{
		"never delivered": {answer: failsWith(false)},
		"no holder":       {answer: repliesNotHolder},
		"maybe delivered": {answer: failsWith(true), unknown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(t, &fakeMesh{replies: []fakeReply{c.answer}})
			r.retryBudget.spentCredits.Store(maxRetryCredits) // no retries are left
			_, outcome, _ := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", Request: dispatcher.Request{ID: "acc/b.1", Timeout: clock.Minute},
			})
			_, unknown := outcome.(dispatcher.Unknown)
			is.Equal(unknown, c.unknown)
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	var b retryBudget
	burst := 0
	for b.allowRetry(false) {
		burst++
	}
	is.Equal(burst, (maxRetryCredits-urgentRetryCredits)/creditsPerRetry)
	is.True(b.allowRetry(true)) // the reserve is for urgent requests
	retries := 0
	for range 1000 {
		b.addCredit()
		if b.allowRetry(false) {
			retries++
		}
	}
	is.True(retries <= 1000/creditsPerRetry)
}

func TestGateRefusesUrgentRequestsLast(t *testing.T) {
	is := is.New(t)
	var g gate
	for g.tryEnter(false) {
	}
	is.True(g.tryEnter(true))
	g.leave()
	g.leave()
	is.True(g.tryEnter(false))
}

// TestKeyIsCheckedAgainAtTheScheduler checks that the scheduler's instance
// refuses a key that is not valid there.
func TestKeyIsCheckedAgainAtTheScheduler(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, &fakeMesh{})
	r.config.Holder = alwaysHolds{}
	r.config.Keys = authenticator.New(authenticator.Config{
		Keys: r.config.State, FreshAt: r.config.Clock.Now, Freshness: clock.Minute,
	})
	reply := r.serveSubmit(context.Background(), submitBody{Key: "0123456789abcdef"})
	outcome, err := dispatcher.UnmarshalOutcome(reply.Outcome)
	is.NoErr(err)
	is.Equal(outcome.(dispatcher.NotRun).Reason, dispatcher.ReasonKeyRefused)
}

func TestMoveToAnotherZone(t *testing.T) {
	full := dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded}}
	cases := map[string]struct {
		generated bool
		answers   []fakeReply
		moved     bool
		fresh     bool
	}{
		"a generated id":                {generated: true, answers: []fakeReply{repliesWith(full), repliesWith(dispatcher.Done{})}, moved: true, fresh: true},
		"a caller's id doesn't move":    {answers: []fakeReply{repliesWith(full), repliesWith(dispatcher.Done{})}},
		"no scheduler":                  {generated: true, answers: []fakeReply{repliesNotHolder, repliesNotHolder, repliesNotHolder, repliesNotHolder, repliesNotHolder, repliesNotHolder, repliesWith(dispatcher.Done{})}, moved: true, fresh: true},
		"maybe delivered, doesn't move": {generated: true, answers: []fakeReply{failsWith(true), repliesWith(dispatcher.Done{})}},
		"not fresh after a lost reply":  {generated: true, answers: []fakeReply{failsWith(true), repliesWith(dispatcher.Done{})}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mesh := &fakeMesh{replies: c.answers}
			r := newRouter(t, mesh)
			r.config.State.Apply(3, registrar.EncodeCommand(registrar.TakeZone{AvailabilityZone: "a", Instance: "a2"}))
			id, _, _ := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", IDGenerated: c.generated, Request: dispatcher.Request{ID: "/b.1", Timeout: clock.Minute},
			})
			is.Equal(id != "b.1", c.moved)
			last := mesh.lastRequest
			is.Equal(last.Fresh, c.fresh)
			is.Equal(last.ID, unit.ScopedRequest("", id))
		})
	}
}

type alwaysHolds struct{}

func (alwaysHolds) HoldsLease(clock.Millis) (unit.Epoch, bool) { return 1, true }

func TestNewIDHasAHomeZoneThatIsNotLost(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, &fakeMesh{})
	config, _ := r.config.State.Config()
	home, ok := config.HomeZone(r.NewID())
	is.True(ok)
	is.Equal(home, unit.AvailabilityZone("a"))
}

func TestHomeZonesAreSpreadOverIDs(t *testing.T) {
	is := is.New(t)
	config, _ := newRouter(t, &fakeMesh{}).config.State.Config()
	homes := map[unit.AvailabilityZone]int{}
	for i := range 1000 {
		home, _ := config.HomeZone(fmt.Sprint("id-", i))
		homes[home]++
	}
	is.True(homes["a"] > 400 && homes["b"] > 400)
}
