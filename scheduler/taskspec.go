package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// spec says how the tasks of a request are placed, whether it came from a
// caller through a queue or is a piece of the text's work.
type taskSpec struct {
	team      unit.Team
	workload  unit.Workload
	class     class
	need      unit.Resources
	urgent    bool
	runTime   clock.Millis
	dependsOn []unit.Workload
	// size is the number of tasks that start together.
	gangSize int
	// queue and maxWaiting bound what waits in a queue; the text's work has
	// neither.
	queue      unit.Queue
	maxWaiting int
}

// class is a placement policy before the attempt is known. The set is closed:
// steady, deferred, together.
type class interface{ class() }

// steady work is placed as a service.
type serviceClass struct{}

// deferred work is placed as batch work.
type batchClass struct{ checkpoints bool }

// together is work whose tasks start all at once.
type gangClass struct{}

func (serviceClass) class() {}
func (batchClass) class()   {}
func (gangClass) class()    {}

// kind returns the placement policy of an attempt. A task that isn't repeatable
// is never preempted: its one start is used up.
func (s taskSpec) kind(attempt unit.Task, size int, repeatable bool) placer.Kind {
	switch class := s.class.(type) {
	case gangClass:
		return placer.Gang{ID: unit.Workload(attempt), Size: size}
	case batchClass:
		return placer.Batch{Checkpoints: class.checkpoints && repeatable}
	default:
		return placer.Service{}
	}
}

// task describes a task of a request to the placer.
func (s taskSpec) task(id, attempt unit.Task, size int, r dispatcher.Request) placer.Task {
	return placer.Task{
		ID:         id,
		Team:       s.team,
		Account:    r.Account,
		Workload:   s.workload,
		Kind:       s.kind(attempt, size, r.Repeatable),
		Need:       s.need,
		Urgent:     s.urgent,
		Repeatable: r.Repeatable,
		RunTime:    s.runTime,
		DependsOn:  s.dependsOn,
	}
}

// specOf returns the spec of a request; ok is false if the configuration in
// force has neither its queue nor its work.
func (c *core) specOf(r dispatcher.Request) (s taskSpec, ok bool) {
	if key, is := parser.WorkloadKeyOf(r.ID); is {
		s, ok = c.specs[key]
		return s, ok
	}
	queue, ok := c.config.FindQueue(r.Queue)
	return queueSpec(queue), ok
}

// size returns how many tasks of a request start together.
func (c *core) gangSize(r dispatcher.Request) int {
	s, _ := c.specOf(r)
	return max(s.gangSize, 1)
}

func queueSpec(q parser.Queue) taskSpec {
	s := taskSpec{
		team: q.Team, workload: unit.Workload("queue/" + q.Name), class: serviceClass{}, need: q.Need, urgent: q.Urgent,
		runTime: q.RunTime, gangSize: 1, queue: q.Name, maxWaiting: q.MaxWaiting,
	}
	switch class := q.Class.(type) {
	case parser.AllAtOnce:
		s.class, s.gangSize = gangClass{}, class.Tasks
	case parser.Deferred:
		s.class = batchClass{checkpoints: class.Checkpoints}
	}
	return s
}

// workSpecs returns the specs of the text's work.
func workloadSpecs(c parser.Config) map[parser.WorkloadKey]taskSpec {
	specs := map[parser.WorkloadKey]taskSpec{}
	for _, s := range c.Services {
		specs[s.Key()] = taskSpec{team: s.Team, workload: s.Name, class: serviceClass{}, need: s.Need, dependsOn: s.After, gangSize: 1}
	}
	for _, b := range c.Batches {
		specs[b.Key()] = taskSpec{
			team: b.Team, workload: b.Name, class: batchClass{checkpoints: b.Checkpoints}, need: b.Need,
			runTime: b.RunTime, dependsOn: b.After, gangSize: 1,
		}
	}
	for _, j := range c.Jobs {
		specs[j.Key()] = taskSpec{
			team: j.Team, workload: j.Name, class: gangClass{}, need: j.Need, urgent: j.Urgent,
			runTime: j.RunTime, dependsOn: j.After, gangSize: j.Tasks,
		}
	}
	return specs
}
