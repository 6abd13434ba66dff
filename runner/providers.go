package runner

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/proposer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/router"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/summarizer"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/upstream"
	"github.com/chervilvane/chervilvane/withdrawer"
)

func newRegistrar() *registrar.Registrar { return registrar.New() }

func newAuthenticator(s loader.Settings, state *registrar.Registrar, l *logReplica, clk clock.Clock) *authenticator.Authenticator {
	return authenticator.New(authenticator.Config{
		Keys: state, Clock: clk, FreshAt: l.freshAt, Freshness: s.Timing.KeyFreshness,
	})
}

func newWithdrawer(s loader.Settings, keys *authenticator.Authenticator, p *proposer.Proposer, mesh *instance.Mesh, clk clock.Clock, l logrus.FieldLogger) *withdrawer.Withdrawer {
	return withdrawer.New(withdrawer.Config{
		Keys: keys, Propose: p.Propose, Call: mesh, Peers: otherInstances(s, ""), Clock: clk, Logger: l,
	})
}

// otherInstances returns the other instances of a zone, or of all zones if az is
// empty.
func otherInstances(s loader.Settings, az unit.AvailabilityZone) []unit.Instance {
	var found []unit.Instance
	for _, p := range s.Peers {
		if p.Instance != s.Instance && (az == "" || p.AvailabilityZone == az) {
			found = append(found, p.Instance)
		}
	}
	return found
}

func newElector(s loader.Settings, state *registrar.Registrar, lg *logReplica, p *proposer.Proposer, mesh *instance.Mesh, clk clock.Clock, l logrus.FieldLogger, m tally.Scope) *elector.Elector {
	return elector.New(elector.Config{
		Instance: s.Instance, AvailabilityZone: s.AvailabilityZone, Peers: otherInstances(s, s.AvailabilityZone),
		Clock: clk, State: state, Call: mesh, LogLeader: p.Leader, Propose: p.Propose, ProposeLocal: p.ProposeLocal,
		ZoneLease: s.Timing.ZoneLease, LeaderSince: lg.leaderSince, Logger: l, Metrics: m.SubScope("elector"),
	})
}

func newScheduler(s loader.Settings, state *registrar.Registrar, p *proposer.Proposer, up *upstream.Client, e *elector.Elector, clk clock.Clock, l logrus.FieldLogger, m tally.Scope, t trace.Tracer) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Instance: s.Instance, AvailabilityZone: s.AvailabilityZone, Clock: clk, State: state,
		Propose: p.Propose, Upstreams: up, Holder: e, TaskLease: s.Timing.TaskLease,
		Logger: l, Metrics: m.SubScope("scheduler"), Tracer: t,
	})
}

func newSummarizer(s loader.Settings, state *registrar.Registrar, sched *scheduler.Scheduler, mesh *instance.Mesh) *summarizer.Summarizer {
	return summarizer.New(summarizer.Config{
		AvailabilityZone: s.AvailabilityZone, State: state, Scheduler: sched, Send: mesh.Send,
	})
}

func newRouter(s loader.Settings, state *registrar.Registrar, local *scheduler.Scheduler, e *elector.Elector, keys *authenticator.Authenticator, mesh *instance.Mesh, clk clock.Clock, l logrus.FieldLogger, m tally.Scope, t trace.Tracer) *router.Router {
	return router.New(router.Config{
		Self: s.Instance, AvailabilityZone: s.AvailabilityZone, State: state, Local: local, Holder: e,
		Keys: keys, Call: mesh, Clock: clk, Logger: l, Metrics: m.SubScope("router"), Tracer: t,
	})
}

func newCallerServer(r *router.Router, state *registrar.Registrar, keys *authenticator.Authenticator, l logrus.FieldLogger, m tally.Scope, t trace.Tracer) *caller.Server {
	return caller.NewServer(caller.Config{
		Router: r, State: state, Authenticator: keys, Logger: l, Metrics: m.SubScope("caller"), Tracer: t,
	})
}

func newOperatorServer(s loader.Settings, state *registrar.Registrar, lg *logReplica, p *proposer.Proposer, w *withdrawer.Withdrawer, v *versions, sched *scheduler.Scheduler, e *elector.Elector, clk clock.Clock, l logrus.FieldLogger, t trace.Tracer) *operator.Server {
	return operator.NewServer(operator.Config{
		Self: s.Instance, AvailabilityZone: s.AvailabilityZone, Operators: s.Operators, State: state,
		Propose: p.Propose, Withdrawer: w, RunningVersions: v.queryAll, Leader: p.Leader, FreshAt: lg.freshAt,
		SchedulerStatus: func() (unit.Epoch, scheduler.Status, bool) {
			epoch, holding := e.HoldsLease(clk.Now())
			return epoch, sched.Status(), holding
		},
		Clock: clk, Logger: l, Tracer: t,
	})
}

// registerMethods adds the handlers of all methods to the mesh.
func registerMethods(mesh *instance.Mesh, lg *logReplica, p *proposer.Proposer, w *withdrawer.Withdrawer, e *elector.Elector, r *router.Router, v *versions, sum *summarizer.Summarizer) {
	mesh.Handle(proposer.Method, p.Handle)
	mesh.Handle(withdrawer.Method, w.Handle)
	mesh.Handle(methodVersion, v.handle)
	mesh.Handle(summarizer.Method, sum.Handle)
	lg.register(mesh)
	for method, handler := range e.Handlers() {
		mesh.Handle(method, handler)
	}
	for method, handler := range r.Handlers() {
		mesh.Handle(method, handler)
	}
}
