package parser

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// demand is the smallest limit with which a queue or workload can run: the needs
// of all tasks that start together.
type demand struct {
	teamValue, needValue decoder.Value
	teamName             string
	concurrentTasks      int
	taskNeed             unit.Resources
}

func (d *demand) readTeam(v decoder.Value) string {
	d.teamValue, d.teamName = v, v.Name()
	return d.teamName
}

// addDemand adds a demand for checkDemands. Findings about the need refer to
// ownerValue if the text doesn't set the need.
func (r *reader) addDemand(ownerValue decoder.Value, d demand, taskNeed unit.Resources) {
	d.taskNeed = taskNeed
	if !d.needValue.IsPresent() {
		d.needValue = ownerValue
	}
	r.demands = append(r.demands, d)
}

// checkDemands rejects demands of unknown teams, and demands above the team's
// limit: such tasks couldn't start even if the team ran nothing else.
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
			r.teams.rejectMissing(d.teamValue, "team", d.teamName)
		default:
			d.checkLimit(limit)
		}
	}
}

func (d demand) checkLimit(limit unit.Resources) {
	needs, limits := d.taskNeed.Vector(), limit.Vector()
	for i := range dimensionNames {
		switch {
		case needs[i] > limits[i]:
			d.needValue.Reject("a task needs %s; the limit of team %s is %s, so it can never run",
				formatAmount(i, needs[i]), d.teamName, formatAmount(i, limits[i]))
		// The product of need and tasks could overflow; the quotient can't.
		case needs[i] > limits[i]/int64(d.concurrentTasks):
			d.needValue.Reject("%d tasks that start together need %s each; the limit of team %s is %s in all, so they can never run",
				d.concurrentTasks, formatAmount(i, needs[i]), d.teamName, formatAmount(i, limits[i]))
		}
	}
}

// dimensionNames are the names of the dimensions in the order of
// unit.Resources.Vector.
var dimensionNames = [unit.Dimensions]string{"CPU", "Memory", "Accelerators", "Slots", "Connections"}

// formatAmount formats an amount of the i-th dimension in the notation of the
// operator's text.
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
