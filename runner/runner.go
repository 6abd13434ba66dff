// Package runner assembles the daemon from its components, with fx, and runs it.
//
// Every instance runs the same components: the mesh, a copy of the replicated
// state, the elector and the scheduler of its zone (idle unless the instance
// holds the zone's lease), the router and the HTTP interface. An instance with a
// data folder is a voter and runs a node of the log; any other instance runs an
// observer.
//
// On shutdown, the instance first becomes unready, then waits for the requests
// in progress, releases the zone's lease, transfers the log's leadership, and
// stops the components last.
//
// With the flag -platform, the daemon instead runs an instance of a scheduling
// domain, which is assembled in domain.go from other components.
package runner

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/loader"
)

// Options are the options of a daemon besides its settings.
type Options struct {
	// Credentials authenticate the instance on the mesh. If nil, they are read
	// from the files that the settings name.
	Credentials instance.Credentials
	// LogTo is the destination of the structured log.
	LogTo io.Writer
	// Extra adds components for a test or the development instance; it may be
	// nil.
	Extra fx.Option
}

// New returns a daemon with these settings as an fx application.
func New(settings loader.Settings, opts Options) *fx.App {
	if opts.Extra == nil {
		opts.Extra = fx.Options()
	}
	return fx.New(
		fx.Supply(settings, opts, clock.Clock{}),
		fx.Provide(
			newLogger, newMeter, newTracer, newCredentials, newLimits, newAdmission,
			newMesh, newRegistrar, newLog,
			newAuthenticator, newWithdrawer,
			newElector, newUpstreamClient, newScheduler, newSummarizer, newRouter,
			newHealth, newVersions, newGauges, newCallerServer, newOperatorServer, newHTTPServer,
			newComponents,
		),
		fx.Invoke(registerMethods, addLifecycle),
		opts.Extra,
		fx.StopTimeout(settings.Timing.Drain.Duration()+stopMargin.Duration()),
		fx.WithLogger(func(l *logrus.Logger) fxevent.Logger { return fxFailureLogger{l} }),
	)
}

// stopMargin is the time for shutdown in addition to the drain time, which
// bounds the wait for requests in progress.
const stopMargin = 10 * clock.Second

// fxFailureLogger logs only the failures of fx. Its other events describe the
// wiring, which is the same at every start.
type fxFailureLogger struct{ logger *logrus.Logger }

// LogEvent implements fxevent.Logger.
func (f fxFailureLogger) LogEvent(e fxevent.Event) {
	switch e := e.(type) {
	case *fxevent.Invoked:
		f.logFailure("invoking "+e.FunctionName, e.Err)
	case *fxevent.Provided:
		f.logFailure("providing "+e.ConstructorName, e.Err)
	case *fxevent.OnStartExecuted:
		f.logFailure("starting", e.Err)
	case *fxevent.OnStopExecuted:
		f.logFailure("stopping", e.Err)
	case *fxevent.Started:
		f.logFailure("starting", e.Err)
	}
}

func (f fxFailureLogger) logFailure(what string, err error) {
	if err != nil {
		f.logger.WithError(err).Error(what)
	}
}

// Run runs the daemon until the context ends or a component fails. It returns an
// error if the start, a component or the stop fails.
func Run(ctx context.Context, app *fx.App) error {
	start, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	var failed error
	select {
	case <-ctx.Done():
	case signal := <-app.Wait():
		if signal.ExitCode != 0 {
			failed = errComponentFailed
		}
	}
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return err
	}
	return failed
}
