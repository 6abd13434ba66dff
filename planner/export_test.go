package planner

import (
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Describe describes the live runs and the upstreams, for the messages of failed tests.
func (p *Planner) Describe() string {
	text := ""
	for _, r := range p.runs {
		text += fmt.Sprintf("%+v\n", *r)
	}
	for _, u := range p.byID {
		text += fmt.Sprintf("%s incarnation %d tokenAcked %t failing %t leaseExpiry %d leaseEndsAt %d runs %v\n", u.ID, u.Incarnation, u.tokenAcked, u.failing, u.leaseExpiry, u.leaseEndsAt, u.SortedRuns())
	}
	return text
}

// Forecasts returns the quantile of the forecast of each step of the jobs that haven't ended.
func (p *Planner) Forecasts(q float64) map[string]clock.Millis {
	list := map[string]clock.Millis{}
	for _, u := range p.byID {
		u.slownessAt = 0
	}
	for id, j := range p.state.Jobs {
		if j.Phase.IsFinal() {
			continue
		}
		delete(p.forecasts, id)
		for i, f := range p.forecastOf(j).steps {
			list[fmt.Sprint(id, i)] = f.Quantile(q)
		}
	}
	return list
}

// Slowness returns the expected time of tasks on an upstream now, relative to the usual time.
func (p *Planner) Slowness(id unit.Upstream) float64 {
	return p.predictor.Slowness(id, p.now).Factor()
}

// PassSearches returns the number of searches of the last pass.
func (p *Planner) PassSearches() int { return p.passSearches + p.passTicketSearches }

// MaxBacklog exports maxBacklog.
const MaxBacklog = maxBacklog

// SetEntitlementSlack sets Config.EntitlementSlack; 0 disables entitlements.
func (p *Planner) SetEntitlementSlack(slack float64) { p.entitlements.slack = slack }
