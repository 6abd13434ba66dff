package parser

import (
	"slices"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

func (r *reader) readServices(v decoder.Value) {
	v.List(func(v decoder.Value) {
		d := demand{concurrentTasks: 1}
		s := Service{Need: defaultNeed()}
		v.Object(decoder.Fields{
			"Name":  func(v decoder.Value) { setName(&s.Name, r.workloads.readUnique(v)) },
			"Team":  func(v decoder.Value) { setName(&s.Team, d.readTeam(v)) },
			"Count": func(v decoder.Value) { s.Count = int(v.Integer(1, MaxTasks)) },
			"Need":  func(v decoder.Value) { d.needValue = v; readNeed(v, &s.Need) },
			"After": func(v decoder.Value) { s.After = r.readAfter(v, &s.Name) },
			"Data":  func(v decoder.Value) { s.Data = v.Text(MaxDataBytes) },
		}, "Name", "Team", "Count")
		r.addDemand(v, d, s.Need)
		r.config.Services = append(r.config.Services, s)
	})
}

func (r *reader) readBatches(v decoder.Value) {
	v.List(func(v decoder.Value) {
		d := demand{concurrentTasks: 1}
		b := Batch{Need: defaultNeed()}
		v.Object(decoder.Fields{
			"Name":        func(v decoder.Value) { setName(&b.Name, r.workloads.readUnique(v)) },
			"Team":        func(v decoder.Value) { setName(&b.Team, d.readTeam(v)) },
			"Count":       func(v decoder.Value) { b.Count = int(v.Integer(1, MaxTasks)) },
			"Need":        func(v decoder.Value) { d.needValue = v; readNeed(v, &b.Need) },
			"RunTime":     func(v decoder.Value) { b.RunTime, _ = v.Duration(1, MaxRunTime) },
			"After":       func(v decoder.Value) { b.After = r.readAfter(v, &b.Name) },
			"Repeatable":  func(v decoder.Value) { b.Repeatable = v.Bool() },
			"Checkpoints": func(v decoder.Value) { b.Checkpoints = v.Bool() },
			"Data":        func(v decoder.Value) { b.Data = v.Text(MaxDataBytes) },
		}, "Name", "Team", "Count")
		r.addDemand(v, d, b.Need)
		r.config.Batches = append(r.config.Batches, b)
	})
}

func (r *reader) readJobs(v decoder.Value) {
	v.List(func(v decoder.Value) {
		d := demand{concurrentTasks: 1}
		j := Job{Need: defaultNeed()}
		v.Object(decoder.Fields{
			"Name":       func(v decoder.Value) { setName(&j.Name, r.workloads.readUnique(v)) },
			"Team":       func(v decoder.Value) { setName(&j.Team, d.readTeam(v)) },
			"Tasks":      func(v decoder.Value) { j.Tasks = int(v.Integer(1, MaxTasks)) },
			"Need":       func(v decoder.Value) { d.needValue = v; readNeed(v, &j.Need) },
			"RunTime":    func(v decoder.Value) { j.RunTime, _ = v.Duration(1, MaxRunTime) },
			"After":      func(v decoder.Value) { j.After = r.readAfter(v, &j.Name) },
			"Repeatable": func(v decoder.Value) { j.Repeatable = v.Bool() },
			"Urgent":     func(v decoder.Value) { j.Urgent = v.Bool() },
			"Data":       func(v decoder.Value) { j.Data = v.Text(MaxDataBytes) },
		}, "Name", "Team", "Tasks")
		d.concurrentTasks = max(j.Tasks, 1)
		r.addDemand(v, d, j.Need)
		r.config.Jobs = append(r.config.Jobs, j)
	})
}

// readAfter reads the names of the predecessors of a workload. dependent points
// to the name of the workload, since the text may set Name after After.
func (r *reader) readAfter(v decoder.Value, dependent *unit.Workload) []unit.Workload {
	var after []unit.Workload
	v.List(func(v decoder.Value) {
		name := unit.Workload(v.Name())
		switch {
		case name == "":
		case slices.Contains(after, name):
			v.Reject("%s stands in the list already", name)
		default:
			after = append(after, name)
			r.dependencies = append(r.dependencies, dependency{workload: dependent, predecessor: name, value: v})
		}
	})
	return after
}
