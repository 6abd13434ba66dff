package runner

import (
	"context"
	"time"

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

// errPartFailed is the end of a daemon of which a part failed; the part's own
// error is in the log.
var errPartFailed = errors.New("a part of the daemon failed")

// readyGrace is how long the instance goes on as before after ready turned
// false, so that the balancer notices first.
const readyGrace = 500 * clock.Millisecond

// part is something that runs until its context ends. An error that it returns
// ends the daemon.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// parts are all that run, in the order of their start.
type parts []part

func newParts(mesh *instance.Mesh, l *log, e *elector.Elector, s *scheduler.Scheduler, w *withdrawer.Withdrawer, sum *summarizer.Summarizer, g *gauges) parts {
	all := parts{{"mesh", mesh.Run}}
	all = append(all, l.parts...)
	return append(all,
		part{"elector", e.Run},
		part{"scheduler", s.Run},
		part{"withdrawer", w.Run},
		part{"summarizer", sum.Run},
		part{"gauges", g.run},
	)
}

// daemon holds what run starts and stops.
type daemon struct {
	fx.In

	Settings   loader.Settings
	Parts      parts
	Server     *httpServer
	Health     *platform.Health
	Log        *log
	Elector    *elector.Elector
	Scheduler  *scheduler.Scheduler
	Logger     logrus.FieldLogger
	Shutdowner fx.Shutdowner
}

// run ties the parts to the application's start and stop.
func run(lc fx.Lifecycle, d daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, p := range d.Parts {
				group.Go(func() error { return d.runPart(ctx, p) })
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

// runPart runs a part; its failure ends the daemon, since an instance that
// misses a part would fail in ways that are harder to see.
func (d daemon) runPart(ctx context.Context, p part) error {
	err := p.run(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	d.Logger.WithError(err).WithField("Part", p.name).Error("a part failed; the instance stops")
	return errors.CombineErrors(errors.Wrap(err, p.name), d.Shutdowner.Shutdown(fx.ExitCode(1)))
}

// handOver ends the requests in progress and gives this instance's roles to
// others. Each step is bounded; a step that fails is logged and the next one
// goes on, since the process ends anyway.
func (d daemon) handOver(stop context.Context) {
	ctx, cancel := context.WithTimeout(stop, d.Settings.Timing.Drain.Duration())
	defer cancel()
	d.Health.SetReady(false)
	pause(ctx, readyGrace)
	var g errgroup.Group
	g.Go(func() error {
		d.Scheduler.Drain(ctx)
		return d.Elector.Release(ctx)
	})
	g.Go(func() error { return d.Server.shutdown(ctx) })
	if err := g.Wait(); err != nil {
		d.Logger.WithError(err).Warn("shutdown left requests or the zone behind")
	}
	if err := d.Log.transfer(ctx); err != nil {
		d.Logger.WithError(err).Warn("the log's leadership was not handed over")
	}
}

func pause(ctx context.Context, span clock.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
