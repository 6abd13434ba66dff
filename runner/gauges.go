package runner

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/scheduler"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 1 * clock.Second

// gauges exports, as metrics, the state that operators monitor and alert on.
type gauges struct {
	state   *registrar.Registrar
	log     *logReplica
	elector *elector.Elector
	sched   *scheduler.Scheduler
	clk     clock.Clock

	logAge, leads, version           tally.Gauge
	holds, epoch, upstreams, waiting tally.Gauge
}

func newGauges(state *registrar.Registrar, l *logReplica, e *elector.Elector, s *scheduler.Scheduler, clk clock.Clock, m tally.Scope) *gauges {
	return &gauges{
		state: state, log: l, elector: e, sched: s, clk: clk,
		logAge:    m.Gauge("log_age_millis"),
		leads:     m.Gauge("log_leads"),
		version:   m.Gauge("config_version"),
		holds:     m.Gauge("zone_held"),
		epoch:     m.Gauge("zone_epoch"),
		upstreams: m.Gauge("zone_upstreams"),
		waiting:   m.Gauge("zone_waiting"),
	}
}

// run updates the gauges until the context ends.
func (g *gauges) run(ctx context.Context) error {
	clock.Every(ctx, gaugeInterval, g.update)
	return nil
}

func (g *gauges) update() {
	now := g.clk.Now()
	g.logAge.Update(float64(now - g.log.freshAt()))
	_, leads := g.log.leaderSince()
	g.leads.Update(oneIf(leads))
	_, version := g.state.Config()
	g.version.Update(float64(version))
	epoch, holds := g.elector.HoldsLease(now)
	g.holds.Update(oneIf(holds))
	if !holds {
		// Another instance exports the zone's numbers; stale numbers of this one
		// would be added to them.
		g.epoch.Update(0)
		g.upstreams.Update(0)
		g.waiting.Update(0)
		return
	}
	status := g.sched.Status()
	g.epoch.Update(float64(epoch))
	g.upstreams.Update(float64(len(status.Upstreams)))
	g.waiting.Update(float64(status.Waiting))
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
