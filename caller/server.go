package caller

import (
	"context"
	"net/http"
	"regexp"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/router"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of a request.
const (
	// MaxBody is the size of a request's JSON body, in bytes.
	MaxBody = 1 << 20
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout = 30 * clock.Second
	// MaxTimeout is the longest deadline.
	MaxTimeout = clock.Hour
)

var validID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// Router is what the server needs of the router.
type Router interface {
	NewID() string
	Submit(ctx context.Context, s router.Submission) (id string, outcome dispatcher.Outcome, accepted bool)
	Result(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error)
	Cancel(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error)
}

// Config of a Server.
type Config struct {
	Router        Router
	State         *registrar.Registrar
	Authenticator *authenticator.Authenticator
	Logger        logrus.FieldLogger
	// Metrics counts the answers; nil counts nothing.
	Metrics tally.Scope
	Tracer  trace.Tracer
}

// Server serves callers.
type Server struct{ c Config }

// NewServer returns a Server.
func NewServer(c Config) *Server {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return &Server{c: c}
}

// count counts an answer by its outcome and reason. Both come from closed sets,
// so the number of series is bounded.
func (s *Server) count(o dispatcher.Outcome) {
	tags := map[string]string{"outcome": "Done", "reason": ""}
	switch o := o.(type) {
	case dispatcher.NotRun:
		tags = map[string]string{"outcome": "NotRun", "reason": string(o.Reason)}
	case dispatcher.Unknown:
		tags = map[string]string{"outcome": "Unknown", "reason": string(o.Reason)}
	}
	s.c.Metrics.Tagged(tags).Counter("answers").Inc(1)
}

// Register adds the callers' routes.
func (s *Server) Register(m *mux.Router) {
	m.HandleFunc("/v1/ids", s.newID).Methods(http.MethodPost)
	m.HandleFunc("/v1/requests", s.submit).Methods(http.MethodPost)
	m.HandleFunc("/v1/requests/{id}", s.result).Methods(http.MethodGet)
	m.HandleFunc("/v1/requests/{id}", s.cancel).Methods(http.MethodDelete)
}

func (s *Server) newID(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, struct{ ID string }{s.c.Router.NewID()})
}

// submission is the body of a submitted request.
type submission struct {
	Queue         unit.Queue
	ID            string
	Data          []byte
	Repeatable    bool
	TimeoutMillis clock.Millis
	Async         bool
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	ctx, span := s.c.Tracer.Start(incoming(r), "caller.submit", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var body submission
	if refusal, refused := readBody(w, r, &body); refused {
		s.refuse(w, body.ID, refusal)
		return
	}
	generated := body.ID == ""
	if generated {
		body.ID = s.c.Router.NewID()
	}
	sub, refusal, ok := s.admit(r, body)
	if !ok {
		s.refuse(w, body.ID, refusal)
		return
	}
	sub.IDGenerated = generated
	s.c.Logger.WithFields(logrus.Fields{
		"Request": sub.Request.ID, "Queue": body.Queue, "Trace": span.SpanContext().TraceID().String(),
	}).Debug("request admitted")
	id, outcome, accepted := s.c.Router.Submit(ctx, sub)
	if accepted {
		WriteJSON(w, http.StatusAccepted, struct{ ID, Outcome string }{id, "Accepted"})
		return
	}
	s.count(outcome)
	writeOutcome(w, id, outcome)
}

func (s *Server) refuse(w http.ResponseWriter, id string, why dispatcher.Refusal) {
	s.count(dispatcher.NotRun{Refusal: why})
	writeNotRun(w, id, why)
}

// incoming returns the request's context with the caller's trace, if it sent
// one.
func incoming(r *http.Request) context.Context {
	return propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// admit checks a submission against the configuration and the key that came
// with it.
func (s *Server) admit(r *http.Request, body submission) (router.Submission, dispatcher.Refusal, bool) {
	if refusal, refused := checkSubmission(body); refused {
		return router.Submission{}, refusal, false
	}
	config, version := s.c.State.Config()
	if version == 0 {
		return router.Submission{}, noConfiguration(), false
	}
	queue, known := config.FindQueue(body.Queue)
	if !known {
		return router.Submission{}, noSuchQueue(body.Queue), false
	}
	key, refusal, ok := s.authorize(r, queue)
	if !ok {
		return router.Submission{}, refusal, false
	}
	timeout := body.TimeoutMillis
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return router.Submission{
		Request: dispatcher.Request{
			ID:         unit.ScopedRequest(key.Account, body.ID),
			Queue:      body.Queue,
			Team:       queue.Team,
			Account:    key.Account,
			Repeatable: body.Repeatable,
			Timeout:    timeout,
			Data:       body.Data,
		},
		Key:             key.ID,
		ClientRequestID: body.ID,
		Async:           body.Async,
		Urgent:          queue.Urgent,
	}, dispatcher.Refusal{}, true
}

// authorize returns the key that admits work to a queue; the zero key for an
// open queue.
func (s *Server) authorize(r *http.Request, queue parser.Queue) (authenticator.Key, dispatcher.Refusal, bool) {
	switch queue.Access.(type) {
	case parser.Open:
		return authenticator.Key{}, dispatcher.Refusal{}, true
	case parser.Keyed:
		return s.checkKey(r, queue.Team)
	default:
		panic("caller: access without a case")
	}
}

func (s *Server) checkKey(r *http.Request, team unit.Team) (authenticator.Key, dispatcher.Refusal, bool) {
	token, refusal, ok := bearer(r)
	if !ok {
		return authenticator.Key{}, refusal, false
	}
	key, verdict := s.c.Authenticator.Check(token)
	switch {
	case verdict == authenticator.Stale:
		return key, keysStale(), false
	case verdict == authenticator.Refused:
		return key, keyRefused("the key is unknown, withdrawn or wrong"), false
	case key.Team != team:
		return key, keyRefused("the key belongs to another team than the queue"), false
	}
	return key, dispatcher.Refusal{}, true
}

// account returns the client account whose requests a caller may ask for. A
// stale copy of the keys suffices: results and cancellations go on during a
// cut.
func (s *Server) account(r *http.Request) (unit.ClientAccount, dispatcher.Refusal, bool) {
	if r.Header.Get("Authorization") == "" {
		return "", dispatcher.Refusal{}, true
	}
	token, refusal, ok := bearer(r)
	if !ok {
		return "", refusal, false
	}
	key, ok := s.c.Authenticator.CheckAllowStale(token)
	if !ok {
		return "", keyRefused("the key is unknown, withdrawn or wrong"), false
	}
	return key.Account, dispatcher.Refusal{}, true
}

func (s *Server) result(w http.ResponseWriter, r *http.Request) {
	s.state(w, r, s.c.Router.Result)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.state(w, r, s.c.Router.Cancel)
}

// stateTimeout bounds the search for a request's scheduler.
const stateTimeout = 5 * clock.Second

func (s *Server) state(w http.ResponseWriter, r *http.Request, ask func(context.Context, string, unit.Request) (scheduler.RequestState, error)) {
	id := mux.Vars(r)["id"]
	if !validID.MatchString(id) {
		writeNotRun(w, id, badRequest("the id must match "+validID.String()))
		return
	}
	account, refusal, ok := s.account(r)
	if !ok {
		writeNotRun(w, id, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(incoming(r), stateTimeout.Duration())
	defer cancel()
	state, err := ask(ctx, id, unit.ScopedRequest(account, id))
	if err != nil {
		writeOutcome(w, id, dispatcher.Unknown{Refusal: unreachable(err)})
		return
	}
	writeState(w, id, state)
}
