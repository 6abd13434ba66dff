package parser

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// demand is what a queue or a work asks of its team's limit: tasks that run
// together, each with the same need.
type demand struct {
	team, need decoder.Value
	teamName   string
	tasks      int
	each       unit.Resources
}

func (d *demand) readTeam(v decoder.Value) string {
	d.team, d.teamName = v, v.Name()
	return d.teamName
}

// addDemand notes a demand for checkDemands. owner is the place of a demand
// that names no need.
func (r *reader) addDemand(owner decoder.Value, d demand, each unit.Resources) {
	d.each = each
	if !d.need.IsPresent() {
		d.need = owner
	}
	r.demands = append(r.demands, d)
}

// checkDemands rejects demands of teams that don't exist and demands that no
// free cluster could ever meet under the team's limit.
func (r *reader) checkDemands() {
	limits := map[unit.Team]unit.Resources{}
	for _, t := range r.config.Teams {
		limits[t.Name] = t.Limit
	}
	for _, d := range r.demands {
		limit, ok := limits[unit.Team(d.teamName)]
		switch {
		case d.teamName == "":
		case !ok:
			r.teams.rejectMissing(d.team, "team", d.teamName)
		default:
			d.checkLimit(limit)
		}
	}
}

func (d demand) checkLimit(limit unit.Resources) {
	need, most := d.each.Vector(), limit.Vector()
	for i := range dimensionNames {
		switch {
		case need[i] > most[i]:
			d.need.Reject("a task needs %s; the limit of team %s is %s, so it can never run",
				formatAmount(i, need[i]), d.teamName, formatAmount(i, most[i]))
		// Division instead of a product can't overflow.
		case need[i] > most[i]/int64(d.tasks):
			d.need.Reject("%d tasks that start together need %s each; the limit of team %s is %s in all, so they can never run",
				d.tasks, formatAmount(i, need[i]), d.teamName, formatAmount(i, most[i]))
		}
	}
}

// dimensionNames are the names of the dimensions in the order of
// unit.Resources.Vector.
var dimensionNames = [unit.Dimensions]string{"CPU", "Memory", "Accelerators", "Slots", "Connections"}

// formatAmount prints an amount of the i-th dimension as the text writes it.
func formatAmount(i int, amount int64) string {
	name := dimensionNames[i]
	switch name {
	case "CPU":
		return name + " " + decoder.FormatCPU(unit.MilliCPU(amount))
	case "Memory":
		return name + " " + decoder.FormatMemory(unit.Bytes(amount))
	default:
		return name + " " + decoder.FormatCount(unit.Count(amount))
	}
}
