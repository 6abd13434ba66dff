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

// MaxText is the size of an operator's text, in bytes.
const MaxText = 4 << 20

// proposeTimeout bounds the wait for the log to accept a change.
const proposeTimeout = 10 * clock.Second

// Withdrawer stops keys, also without the log.
type Withdrawer interface {
	Withdraw(ctx context.Context, id authenticator.KeyID, operator string) bool
}

// RunningVersion is the configuration version that an instance runs.
type RunningVersion struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Version          unit.Version
	Reachable        bool
}

// Config of a Server.
type Config struct {
	Self             unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Operators        []loader.Operator
	State            *registrar.Registrar
	Propose          func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Withdrawer       Withdrawer
	// RunningVersions asks every instance for the version it runs.
	RunningVersions func(ctx context.Context) []RunningVersion
	// Leader and FreshAt describe this instance's copy of the log.
	Leader  func() unit.Instance
	FreshAt func() clock.Millis
	// SchedulerStatus returns the status of the zone's scheduler, if this instance
	// runs it.
	SchedulerStatus func() (unit.Epoch, scheduler.Status, bool)
	Clock           clock.Clock
	Logger          logrus.FieldLogger
	Tracer          trace.Tracer
}

// Server serves operators.
type Server struct{ c Config }

// NewServer returns a Server.
func NewServer(c Config) *Server { return &Server{c: c} }

// Register adds the operators' routes.
func (s *Server) Register(m *mux.Router) {
	m.HandleFunc("/v1/config", s.authorized(s.putConfig)).Methods(http.MethodPut)
	m.HandleFunc("/v1/config", s.authorized(s.getConfig)).Methods(http.MethodGet)
	m.HandleFunc("/v1/config/history", s.authorized(s.history)).Methods(http.MethodGet)
	m.HandleFunc("/v1/config/running", s.authorized(s.running)).Methods(http.MethodGet)
	m.HandleFunc("/v1/keys", s.authorized(s.grant)).Methods(http.MethodPost)
	m.HandleFunc("/v1/keys", s.authorized(s.keys)).Methods(http.MethodGet)
	m.HandleFunc("/v1/keys/{id}", s.authorized(s.withdraw)).Methods(http.MethodDelete)
	m.HandleFunc("/v1/status", s.status).Methods(http.MethodGet)
}

// handler is a route that knows which operator asks.
type handler func(w http.ResponseWriter, r *http.Request, operator string)

// authorized lets only operators through.
func (s *Server) authorized(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := s.operator(r)
		if !ok {
			writeProblem(w, http.StatusForbidden, notAnOperator())
			return
		}
		ctx, span := s.c.Tracer.Start(r.Context(), "operator."+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		h(w, r.WithContext(ctx), name)
	}
}

// operator returns the name of the operator whose key came with a request. All
// operators are compared, so that the time taken doesn't tell which matched.
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
	for _, o := range s.c.Operators {
		hash, err := hex.DecodeString(o.KeyHash)
		if err == nil && token.Matches(hash) {
			name, found = o.Name, true
		}
	}
	return name, found
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	config, version := s.c.State.Config()
	type zone struct {
		AvailabilityZone unit.AvailabilityZone
		Epoch            unit.Epoch
		Holder           unit.Instance
		Lost             bool
	}
	zones := make([]zone, 0, len(config.AvailabilityZones))
	for _, z := range config.AvailabilityZones {
		held := s.c.State.Zone(z.Name)
		zones = append(zones, zone{z.Name, held.Epoch, held.Holder, z.Lost})
	}
	epoch, status, holding := s.c.SchedulerStatus()
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
		s.c.Self, s.c.AvailabilityZone, version, s.c.Leader(), s.c.Clock.Now() - s.c.FreshAt(), zones, s.works(config),
		struct {
			Holding bool
			Epoch   unit.Epoch
			scheduler.Status
		}{holding, epoch, status},
	})
}
