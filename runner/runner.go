// Package runner assembles the daemon from its parts, with fx, and runs it.
//
// Every instance runs the same parts: the mesh, a copy of the registered state,
// the elector and the scheduler of its zone (idle unless it holds the zone),
// the router and the HTTP interface. An instance with a data folder is a voter
// and runs a node of the log; any other follows the log.
//
// Shutdown goes from the outside in: ready turns false, requests in progress
// end, the zone and the log's leadership are handed over, and only then do the
// parts stop.
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

// Options of a daemon besides its settings.
type Options struct {
	// Credentials authenticate the instance on the mesh; nil means the files
	// that the settings name.
	Credentials instance.Credentials
	// LogTo gets the structured log.
	LogTo io.Writer
	// Extra adds parts that a test or the development instance needs.
	Extra fx.Option
}

// New returns the daemon as an fx application.
func New(settings loader.Settings, opts Options) *fx.App {
	if opts.Extra == nil {
		opts.Extra = fx.Options()
	}
	return fx.New(
		fx.Supply(settings, opts, clock.Clock{}),
		fx.Provide(
			newLogger, newMeter, newTracer, newCredentials,
			newMesh, newState, newLog,
			newAuthenticator, newWithdrawer,
			newElector, newUpstreams, newScheduler, newSummarizer, newRouter,
			newHealth, newVersions, newGauges, newCallerServer, newOperatorServer, newHTTPServer,
			newParts,
		),
		fx.Invoke(registerMethods, run),
		opts.Extra,
		fx.StopTimeout(settings.Timing.Drain.Duration()+stopGrace.Duration()),
		fx.WithLogger(func(l *logrus.Logger) fxevent.Logger { return quietEvents{l} }),
	)
}

// stopGrace is the time for everything on shutdown but the wait for requests
// in progress.
const stopGrace = 10 * clock.Second

// quietEvents logs fx's failures only; its other events tell the wiring, which
// is the same at every start.
type quietEvents struct{ logger *logrus.Logger }

// LogEvent implements fxevent.Logger.
func (q quietEvents) LogEvent(e fxevent.Event) {
	switch e := e.(type) {
	case *fxevent.Invoked:
		q.failed("invoking "+e.FunctionName, e.Err)
	case *fxevent.Provided:
		q.failed("providing "+e.ConstructorName, e.Err)
	case *fxevent.OnStartExecuted:
		q.failed("starting", e.Err)
	case *fxevent.OnStopExecuted:
		q.failed("stopping", e.Err)
	case *fxevent.Started:
		q.failed("starting", e.Err)
	}
}

func (q quietEvents) failed(what string, err error) {
	if err != nil {
		q.logger.WithError(err).Error(what)
	}
}

// Run runs the daemon until the context ends or a part fails.
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
			failed = errPartFailed
		}
	}
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return err
	}
	return failed
}
