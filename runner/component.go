package runner

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/platform"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/summarizer"
	"github.com/chervilvane/chervilvane/withdrawer"
)

// errComponentFailed is returned by Run if a component failed. The component's
// error is in the log.
var errComponentFailed = errors.New("a part of the daemon failed")

// unreadyDelay is how long the instance serves after it became unready on
// shutdown. The balancer needs that time to stop sending requests.
const unreadyDelay = 500 * clock.Millisecond

// component is a long-running part of the daemon. run returns when its context
// ends; an error before that ends the daemon.
type component struct {
	name string
	run  func(ctx context.Context) error
}

// components are the components of an instance, in the order of their start.
type components []component

func newComponents(mesh *instance.Mesh, l *logReplica, e *elector.Elector, s *scheduler.Scheduler, w *withdrawer.Withdrawer, sum *summarizer.Summarizer, g *gauges) components {
	all := components{{"mesh", mesh.Run}}
	all = append(all, l.components...)
	return append(all,
		component{"elector", e.Run},
		component{"scheduler", s.Run},
		component{"withdrawer", w.Run},
		component{"summarizer", sum.Run},
		component{"gauges", g.run},
	)
}

// daemon holds what addLifecycle starts and stops.
type daemon struct {
	fx.In

	Settings   loader.Settings
	Components components
	Server     *httpServer
	Health     *platform.Health
	Log        *logReplica
	Elector    *elector.Elector
	Scheduler  *scheduler.Scheduler
	Logger     logrus.FieldLogger
	Shutdowner fx.Shutdowner
}

// addLifecycle starts and stops the daemon with the fx application.
func addLifecycle(lc fx.Lifecycle, d daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, c := range d.Components {
				group.Go(func() error { return d.runComponent(ctx, c) })
			}
			if err := d.Server.listen(); err != nil {
				return err
			}
			group.Go(d.Server.serve)
			d.Health.SetReady(true)
			d.Logger.WithFields(logrus.Fields{"API": d.Settings.Listen.API, "Mesh": d.Settings.Listen.Mesh}).Info("instance started")
			return nil
		},
		OnStop: func(stop context.Context) error {
			d.handOver(stop)
			cancel()
			return group.Wait()
		},
	})
}

// runComponent runs a component. If the component fails, the daemon ends: an
// instance without one of its components would fail in ways that are harder to
// detect.
func (d daemon) runComponent(ctx context.Context, c component) error {
	err := c.run(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	d.Logger.WithError(err).WithField("Part", c.name).Error("a component failed; the instance stops")
	return errors.CombineErrors(errors.Wrap(err, c.name), d.Shutdowner.Shutdown(fx.ExitCode(1)))
}

// handOver waits for the requests in progress, releases the zone's lease and
// transfers the log's leadership, all within the drain time. It logs the failure
// of a step and continues, since the process ends anyway.
func (d daemon) handOver(stop context.Context) {
	ctx, cancel := context.WithTimeout(stop, d.Settings.Timing.Drain.Duration())
	defer cancel()
	d.Health.SetReady(false)
	// The steps below must run even if the deadline has passed.
	_ = clock.Sleep(ctx, unreadyDelay)
	var g errgroup.Group
	g.Go(func() error {
		d.Scheduler.Drain(ctx)
		return d.Elector.Release(ctx)
	})
	g.Go(func() error { return d.Server.shutdown(ctx) })
	if err := g.Wait(); err != nil {
		d.Logger.WithError(err).Warn("requests in progress did not end or the zone's lease was not released")
	}
	if err := d.Log.transferLeadership(ctx); err != nil {
		d.Logger.WithError(err).Warn("the log's leadership was not transferred")
	}
}
