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
	// MaxBodyBytes is the maximum length of a request's JSON body.
	MaxBodyBytes = 1 << 20
	// DefaultTimeout is the timeout of a request that doesn't set one.
	DefaultTimeout = 30 * clock.Second
	// MaxTimeout is the maximum timeout of a request.
	MaxTimeout = clock.Hour
)

var validID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// Router has the methods of router.Router that a Server calls.
type Router interface {
	NewID() string
	Submit(ctx context.Context, s router.Submission) (id string, outcome dispatcher.Outcome, accepted bool)
	Result(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error)
	Cancel(ctx context.Context, callerID string, id unit.Request) (scheduler.RequestState, error)
}

// Config holds the dependencies of a Server.
type Config struct {
	Router        Router
	State         *registrar.Registrar
	Authenticator *authenticator.Authenticator
	Logger        logrus.FieldLogger
	// Metrics gets a counter of outcomes; nil disables it.
	Metrics tally.Scope
	Tracer  trace.Tracer
}

// Server serves the HTTP interface for callers.
type Server struct{ config Config }

// NewServer returns a Server; Register adds its routes to an HTTP router.
func NewServer(c Config) *Server {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return &Server{config: c}
}

// countOutcome increments the counter of an outcome and its reason. Both are
// taken from fixed sets, so the number of time series is bounded.
func (s *Server) countOutcome(o dispatcher.Outcome) {
	tags := map[string]string{"outcome": "Done", "reason": ""}
	switch o := o.(type) {
	case dispatcher.NotRun:
		tags = map[string]string{"outcome": "NotRun", "reason": string(o.Reason)}
	case dispatcher.Unknown:
		tags = map[string]string{"outcome": "Unknown", "reason": string(o.Reason)}
	}
	s.config.Metrics.Tagged(tags).Counter("answers").Inc(1)
}

// Register adds the server's routes to m.
func (s *Server) Register(m *mux.Router) {
	m.HandleFunc("/v1/ids", s.newID).Methods(http.MethodPost)
	m.HandleFunc("/v1/requests", s.submit).Methods(http.MethodPost)
	m.HandleFunc("/v1/requests/{id}", s.result).Methods(http.MethodGet)
	m.HandleFunc("/v1/requests/{id}", s.cancel).Methods(http.MethodDelete)
}

func (s *Server) newID(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, struct{ ID string }{s.config.Router.NewID()})
}

// submission is the JSON body of a submitted request.
type submission struct {
	Queue         unit.Queue
	ID            string
	Data          []byte
	Repeatable    bool
	TimeoutMillis clock.Millis
	Async         bool
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	ctx, span := s.config.Tracer.Start(traceContext(r), "caller.submit", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	var body submission
	if refusal, refused := readBody(w, r, &body); refused {
		s.refuse(w, body.ID, refusal)
		return
	}
	generated := body.ID == ""
	if generated {
		body.ID = s.config.Router.NewID()
	}
	sub, refusal, ok := s.admit(r, body)
	if !ok {
		s.refuse(w, body.ID, refusal)
		return
	}
	sub.IDGenerated = generated
	s.config.Logger.WithFields(logrus.Fields{
		"Request": sub.Request.ID, "Queue": body.Queue, "Trace": span.SpanContext().TraceID().String(),
	}).Debug("request admitted")
	id, outcome, accepted := s.config.Router.Submit(ctx, sub)
	if accepted {
		WriteJSON(w, http.StatusAccepted, struct{ ID, Outcome string }{id, "Accepted"})
		return
	}
	s.countOutcome(outcome)
	writeOutcome(w, id, outcome)
}

func (s *Server) refuse(w http.ResponseWriter, id string, refusal dispatcher.Refusal) {
	s.countOutcome(dispatcher.NotRun{Refusal: refusal})
	writeNotRun(w, id, refusal)
}

// traceContext returns the request's context with the trace that the caller
// sent, if any.
func traceContext(r *http.Request) context.Context {
	return propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
}

// admit checks a submission against the configuration and the key in the HTTP
// request. If it returns false, the refusal holds the reason.
func (s *Server) admit(r *http.Request, body submission) (router.Submission, dispatcher.Refusal, bool) {
	if refusal, refused := checkSubmission(body); refused {
		return router.Submission{}, refusal, false
	}
	config, version := s.config.State.Config()
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

// authorize returns the key that authorizes a submission to a queue, or the
// zero key if the queue is open.
func (s *Server) authorize(r *http.Request, queue parser.Queue) (authenticator.Key, dispatcher.Refusal, bool) {
	switch queue.Access.(type) {
	case parser.Open:
		return authenticator.Key{}, dispatcher.Refusal{}, true
	case parser.Keyed:
		return s.checkKey(r, queue.Team)
	default:
		panic("caller: unknown type of queue access")
	}
}

func (s *Server) checkKey(r *http.Request, team unit.Team) (authenticator.Key, dispatcher.Refusal, bool) {
	token, refusal, ok := bearerToken(r)
	if !ok {
		return authenticator.Key{}, refusal, false
	}
	key, verdict := s.config.Authenticator.Check(token)
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

// account returns the client account whose requests a caller may query and
// cancel. It accepts a stale copy of the keys, so that results and cancellations
// remain available during a network partition.
func (s *Server) account(r *http.Request) (unit.ClientAccount, dispatcher.Refusal, bool) {
	if r.Header.Get("Authorization") == "" {
		return "", dispatcher.Refusal{}, true
	}
	token, refusal, ok := bearerToken(r)
	if !ok {
		return "", refusal, false
	}
	key, ok := s.config.Authenticator.CheckAllowStale(token)
	if !ok {
		return "", keyRefused("the key is unknown, withdrawn or wrong"), false
	}
	return key.Account, dispatcher.Refusal{}, true
}

func (s *Server) result(w http.ResponseWriter, r *http.Request) {
	s.serveState(w, r, s.config.Router.Result)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.serveState(w, r, s.config.Router.Cancel)
}

// stateTimeout bounds the search for the scheduler that has a request.
const stateTimeout = 5 * clock.Second

func (s *Server) serveState(w http.ResponseWriter, r *http.Request, query func(context.Context, string, unit.Request) (scheduler.RequestState, error)) {
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
	ctx, cancel := context.WithTimeout(traceContext(r), stateTimeout.Duration())
	defer cancel()
	state, err := query(ctx, id, unit.ScopedRequest(account, id))
	if err != nil {
		writeOutcome(w, id, dispatcher.Unknown{Refusal: schedulerUnreachable(err)})
		return
	}
	writeState(w, id, state)
}
