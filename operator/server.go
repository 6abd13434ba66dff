package operator

import (
	"context"
	"encoding/hex"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

// MaxConfigBytes is the maximum length of the request body with a configuration's
// text. Package parser rejects a text of more than decoder.MaxFileBytes with a
// finding.
const MaxConfigBytes = 4 << 20

// proposeTimeout bounds the wait until the log has accepted a change.
const proposeTimeout = 10 * clock.Second

// Withdrawer withdraws keys, even if the log is unreachable.
type Withdrawer interface {
	// Withdraw withdraws a key and reports whether the withdrawal is in the log.
	Withdraw(ctx context.Context, id authenticator.KeyID, operator string) bool
}

// RunningVersion holds the configuration version that an instance runs.
// Reachable is false if the instance didn't answer.
type RunningVersion struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Version          unit.Version
	Reachable        bool
}

// Config holds the dependencies of a Server.
type Config struct {
	Self             unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Operators        []loader.Operator
	State            *registrar.Registrar
	Propose          func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Withdrawer       Withdrawer
	// RunningVersions queries every instance for the version that it runs.
	RunningVersions func(ctx context.Context) []RunningVersion
	// Leader returns the leader of the log, as known to this instance.
	Leader func() unit.Instance
	// FreshAt returns the time up to which this instance's copy of the log is
	// known to be current.
	FreshAt func() clock.Millis
	// SchedulerStatus returns the epoch and status of the zone's scheduler, or
	// false if this instance doesn't run it.
	SchedulerStatus func() (unit.Epoch, scheduler.Status, bool)
	Clock           clock.Clock
	Logger          logrus.FieldLogger
	Tracer          trace.Tracer
}

// Server serves the HTTP interface for operators.
type Server struct{ config Config }

// NewServer returns a Server; Register adds its routes to an HTTP router.
func NewServer(c Config) *Server { return &Server{config: c} }

// Register adds the server's routes to m.
func (s *Server) Register(m *mux.Router) {
	m.HandleFunc("/v1/config", s.authorized(s.putConfig)).Methods(http.MethodPut)
	m.HandleFunc("/v1/config", s.authorized(s.getConfig)).Methods(http.MethodGet)
	m.HandleFunc("/v1/config/history", s.authorized(s.configHistory)).Methods(http.MethodGet)
	m.HandleFunc("/v1/config/running", s.authorized(s.runningVersions)).Methods(http.MethodGet)
	m.HandleFunc("/v1/keys", s.authorized(s.grantKey)).Methods(http.MethodPost)
	m.HandleFunc("/v1/keys", s.authorized(s.listKeys)).Methods(http.MethodGet)
	m.HandleFunc("/v1/keys/{id}", s.authorized(s.withdrawKey)).Methods(http.MethodDelete)
	m.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
}

// handler serves a request that an operator has sent.
type handler func(w http.ResponseWriter, r *http.Request, operator string)

// authorized returns an HTTP handler that calls h for the requests of operators
// and answers all others with 403.
func (s *Server) authorized(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.operator(r)
		if !ok {
			writeProblem(w, http.StatusForbidden, notAnOperator())
			return
		}
		ctx, span := s.config.Tracer.Start(r.Context(), "operator."+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		h(w, r.WithContext(ctx), name)
	}
}

// Identify returns the name of the operator whose key is in a request; false if there is none.
func (s *Server) Identify(r *http.Request) (string, bool) { return s.operator(r) }

// operator returns the name of the operator whose key is in the request. It
// compares the key with those of all operators, so that the time taken doesn't
// reveal which one matched.
func (s *Server) operator(r *http.Request) (string, bool) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 || len(values[0]) <= len("Bearer ") {
		return "", false
	}
	token, err := authenticator.ParseToken(values[0][len("Bearer "):])
	if err != nil {
		return "", false
	}
	name, found := "", false
	for _, o := range s.config.Operators {
		hash, err := hex.DecodeString(o.KeyHash)
		if err == nil && token.Matches(hash) {
			name, found = o.Name, true
		}
	}
	return name, found
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	config, version := s.config.State.Config()
	type zone struct {
		AvailabilityZone unit.AvailabilityZone
		Epoch            unit.Epoch
		Holder           unit.Instance
		Lost             bool
	}
	zones := make([]zone, 0, len(config.AvailabilityZones))
	for _, z := range config.AvailabilityZones {
		state := s.config.State.Zone(z.Name)
		zones = append(zones, zone{z.Name, state.Epoch, state.Holder, z.Lost})
	}
	epoch, status, holding := s.config.SchedulerStatus()
	writeJSON(w, http.StatusOK, struct {
		Instance         unit.Instance
		AvailabilityZone unit.AvailabilityZone
		Version          unit.Version
		LogLeader        unit.Instance
		LogFreshMillis   clock.Millis
		Zones            []zone
		Work             []workLine
		Scheduler        any
	}{
		s.config.Self, s.config.AvailabilityZone, version, s.config.Leader(), s.config.Clock.Now() - s.config.FreshAt(), zones, s.workLines(config),
		struct {
			Holding bool
			Epoch   unit.Epoch
			scheduler.Status
		}{holding, epoch, status},
	})
}
