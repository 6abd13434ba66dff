package parser

import (
	"math/bits"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Check returns the findings of Parse and, besides, warnings about entries that
// are valid but hardly do what was intended. An instance gives no warnings.
func Check(file string, text []byte) []decoder.Finding {
	r, findings := read(file, text)
	r.check()
	r.warnUnusedTeams()
	r.warnServiceLimits()
	return findings.List()
}

// warnUnusedTeams warns about teams that no queue or workload names.
func (r *reader) warnUnusedTeams() {
	used := map[string]bool{}
	for _, d := range r.demands {
		used[d.teamName] = true
	}
	for _, t := range r.config.Teams {
		if t.Name != "" && !used[string(t.Name)] {
			r.teams[string(t.Name)].Warn("no queue, service, batch or job names the team %s", t.Name)
		}
	}
}

// warnServiceLimits warns about services that, together with the services of the
// same team that the text lists before, need more than the team's limit: some of
// their tasks never run.
func (r *reader) warnServiceLimits() {
	limits := map[unit.Team]unit.Resources{}
	for _, t := range r.config.Teams {
		limits[t.Name] = t.Limit
	}
	totals := map[unit.Team][unit.Dimensions]int64{}
	for _, s := range r.config.Services {
		limit, ok := limits[s.Team]
		value, named := r.workloads[string(s.Name)]
		if !ok || !named {
			continue
		}
		total, needs, bounds := totals[s.Team], s.Need.Vector(), limit.Vector()
		for i := range dimensionNames {
			before := total[i]
			total[i] = addProduct(before, needs[i], int64(s.Count))
			if before <= bounds[i] && total[i] > bounds[i] && needs[i] <= bounds[i] {
				value.Warn("the services of team %s up to this one need %s; its limit is %s, so some of their tasks never run",
					s.Team, formatAmount(i, total[i]), formatAmount(i, bounds[i]))
			}
		}
		totals[s.Team] = total
	}
}

// addProduct returns sum + a*b, or unit.Unlimited if that is less. The arguments
// aren't negative.
func addProduct(sum, a, b int64) int64 {
	high, product := bits.Mul64(uint64(a), uint64(b))
	if high > 0 || product >= unit.Unlimited {
		return unit.Unlimited
	}
	return min(sum+int64(product), unit.Unlimited)
}
