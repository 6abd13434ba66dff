package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// taskSpec describes the tasks of a request for the placer. The request came from
// a caller through a queue, or belongs to a configured workload.
type taskSpec struct {
	team      unit.Team
	workload  unit.Workload
	class     class
	need      unit.Resources
	urgent    bool
	runTime   clock.Millis
	dependsOn []unit.Workload
	// gangSize is the number of tasks that start together.
	gangSize int
	// queue is the queue of a caller's request, and maxWaiting the number of
	// tasks that may wait in it; 0 means no limit. Both are zero for a configured
	// workload.
	queue      unit.Queue
	maxWaiting int
}

// class is the placement policy of a request, from which kind derives the
// placer.Kind of an attempt. The set is closed: serviceClass, batchClass,
// gangClass.
type class interface{ class() }

// serviceClass places tasks as a service.
type serviceClass struct{}

// batchClass places tasks as batch tasks.
type batchClass struct{ checkpoints bool }

// gangClass places tasks as the members of a gang, which start together.
type gangClass struct{}

func (serviceClass) class() {}
func (batchClass) class()   {}
func (gangClass) class()    {}

// kind returns the placement policy of an attempt. It clears Checkpoints for a
// request that isn't repeatable, which keeps the placer from preempting its task:
// the task can't be started a second time.
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

// task returns the placer's description of one task of a request.
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

// specOf returns the task spec of a request. ok is false if the configuration in
// force has neither its queue nor its workload.
func (c *core) specOf(r dispatcher.Request) (s taskSpec, ok bool) {
	if key, isWorkload := parser.WorkloadKeyOf(r.ID); isWorkload {
		s, ok = c.specs[key]
		return s, ok
	}
	queue, ok := c.config.FindQueue(r.Queue)
	return queueSpec(queue), ok
}

// gangSize returns the number of tasks of a request that start together.
func (c *core) gangSize(r dispatcher.Request) int {
	s, _ := c.specOf(r)
	return max(s.gangSize, 1)
}

// queueSpec returns the task spec of the requests of a queue.
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

// workloadSpecs returns the task spec of each configured workload.
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
