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

// answer is what the fake mesh does with one call.
type answer func(body submitBody) (submitReply, error)

func replies(o dispatcher.Outcome) answer {
	return func(submitBody) (submitReply, error) {
		return submitReply{Outcome: dispatcher.MarshalOutcome(o)}, nil
	}
}

func lost(delivered bool) answer {
	return func(submitBody) (submitReply, error) {
		return submitReply{}, &instance.CallError{Peer: "b1", MaybeDelivered: delivered, Cause: errors.New("cut")}
	}
}

func notHolder(submitBody) (submitReply, error) { return submitReply{NotHolder: true}, nil }

// fakeMesh answers calls in turn, the last answer again and again.
type fakeMesh struct {
	answers []answer
	ids     []unit.Request
	last    dispatcher.Request
}

func (f *fakeMesh) Call(_ context.Context, _ unit.Instance, _ instance.Method, data []byte) ([]byte, error) {
	var body submitBody
	if err := encoder.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	f.ids = append(f.ids, body.Request.ID)
	f.last = body.Request
	next := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	reply, err := next(body)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(reply), nil
}

// newRouter returns the router of instance a1, in a fleet whose zone b is held
// by b1.
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

func TestSubmitTellsTheTruth(t *testing.T) {
	refused := dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded}}
	done := dispatcher.Done{Answer: []byte("whole answer")}
	cases := map[string]struct {
		answers    []answer
		repeatable bool
		want       dispatcher.Outcome
		sends      int
	}{
		"answered":                                  {answers: []answer{replies(done)}, want: done, sends: 1},
		"refused":                                   {answers: []answer{replies(refused)}, want: refused, sends: 1},
		"never delivered, then answered":            {answers: []answer{lost(false), replies(done)}, want: done, sends: 2},
		"never delivered, then refused":             {answers: []answer{lost(false), replies(refused)}, repeatable: true, want: refused, sends: 2},
		"answer lost, then joined":                  {answers: []answer{lost(true), replies(done)}, want: done, sends: 2},
		"answer lost, then refused, repeatable":     {answers: []answer{lost(true), replies(refused)}, repeatable: true, want: dispatcher.Unknown(refused), sends: 2},
		"answer lost, then refused, not repeatable": {answers: []answer{lost(true), replies(refused)}, want: refused, sends: 2},
		"asked an old holder first":                 {answers: []answer{notHolder, replies(done)}, want: done, sends: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mesh := &fakeMesh{answers: c.answers}
			r := newRouter(t, mesh)
			_, outcome, accepted := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", Request: dispatcher.Request{ID: "acc/b.1", Repeatable: c.repeatable, Timeout: clock.Minute},
			})
			is.True(!accepted)
			is.Equal(outcome, c.want)
			is.Equal(len(mesh.ids), c.sends)
			for _, id := range mesh.ids {
				is.Equal(id, unit.Request("acc/b.1")) // a resend keeps the id
			}
		})
	}
}

func TestSubmitWithoutAnswer(t *testing.T) {
	cases := map[string]struct {
		answer  answer
		unknown bool
	}{
		"never delivered":  {answer: lost(false)},
		"no holder":        {answer: notHolder},
		"may be delivered": {answer: lost(true), unknown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(t, &fakeMesh{answers: []answer{c.answer}})
			r.budget.spent.Store(maxCredits) // no retries are left
			_, outcome, _ := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", Request: dispatcher.Request{ID: "acc/b.1", Timeout: clock.Minute},
			})
			_, unknown := outcome.(dispatcher.Unknown)
			is.Equal(unknown, c.unknown)
		})
	}
}

func TestBudgetKeepsRetriesFew(t *testing.T) {
	is := is.New(t)
	var b budget
	burst := 0
	for b.retry(false) {
		burst++
	}
	is.Equal(burst, (maxCredits-urgentReserve)/retryCost)
	is.True(b.retry(true)) // the reserve is for urgent work
	retries := 0
	for range 1000 {
		b.sent()
		if b.retry(false) {
			retries++
		}
	}
	is.True(retries <= 1000/retryCost)
}

func TestGateShedsUrgentLast(t *testing.T) {
	is := is.New(t)
	var g gate
	for g.enter(false) {
	}
	is.True(g.enter(true))
	g.leave()
	g.leave()
	is.True(g.enter(false))
}

func TestKeyIsCheckedAgainAtTheScheduler(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, &fakeMesh{})
	r.c.Holder = alwaysHolds{}
	r.c.Keys = authenticator.New(authenticator.Config{
		Keys: r.c.State, FreshAt: r.c.Clock.Now, Freshness: clock.Minute,
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
		answers   []answer
		moved     bool
		fresh     bool
	}{
		"an id of this instance":       {generated: true, answers: []answer{replies(full), replies(dispatcher.Done{})}, moved: true, fresh: true},
		"a caller's id stays":          {answers: []answer{replies(full), replies(dispatcher.Done{})}},
		"no scheduler":                 {generated: true, answers: []answer{notHolder, notHolder, notHolder, notHolder, notHolder, notHolder, replies(dispatcher.Done{})}, moved: true, fresh: true},
		"it may run there: it stays":   {generated: true, answers: []answer{lost(true), replies(dispatcher.Done{})}},
		"not fresh after a lost reply": {generated: true, answers: []answer{lost(true), replies(dispatcher.Done{})}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mesh := &fakeMesh{answers: c.answers}
			r := newRouter(t, mesh)
			r.c.State.Apply(3, registrar.EncodeCommand(registrar.TakeZone{AvailabilityZone: "a", Instance: "a2"}))
			id, _, _ := r.Submit(context.Background(), Submission{
				ClientRequestID: "b.1", IDGenerated: c.generated, Request: dispatcher.Request{ID: "/b.1", Timeout: clock.Minute},
			})
			is.Equal(id != "b.1", c.moved)
			last := mesh.last
			is.Equal(last.Fresh, c.fresh)
			is.Equal(last.ID, unit.ScopedRequest("", id))
		})
	}
}

type alwaysHolds struct{}

func (alwaysHolds) HoldsLease(clock.Millis) (unit.Epoch, bool) { return 1, true }

func TestNewIDNamesALiveZone(t *testing.T) {
	is := is.New(t)
	r := newRouter(t, &fakeMesh{})
	config, _ := r.c.State.Config()
	home, ok := config.HomeZone(r.NewID())
	is.True(ok)
	is.Equal(home, unit.AvailabilityZone("a"))
}

func TestHomeSpreadsIDs(t *testing.T) {
	is := is.New(t)
	config, _ := newRouter(t, &fakeMesh{}).c.State.Config()
	homes := map[unit.AvailabilityZone]int{}
	for i := range 1000 {
		home, _ := config.HomeZone(fmt.Sprint("id-", i))
		homes[home]++
	}
	is.True(homes["a"] > 400 && homes["b"] > 400)
}
