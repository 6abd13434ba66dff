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
type spec struct {
	team    unit.Team
	work    unit.Workload
	class   class
	need    unit.Resources
	urgent  bool
	runTime clock.Millis
	after   []unit.Workload
	// size is the number of tasks that start together.
	size int
	// queue and maxWaiting bound what waits in a queue; the text's work has
	// neither.
	queue      unit.Queue
	maxWaiting int
}

// class is a placement policy before the attempt is known. The set is closed:
// steady, deferred, together.
type class interface{ class() }

// steady work is placed as a service.
type steady struct{}

// deferred work is placed as batch work.
type deferred struct{ checkpoints bool }

// together is work whose tasks start all at once.
type together struct{}

func (steady) class()   {}
func (deferred) class() {}
func (together) class() {}

// kind returns the placement policy of an attempt. A task that isn't repeatable
// is never preempted: its one start is used up.
func (s spec) kind(attempt unit.Task, size int, repeatable bool) placer.Kind {
	switch class := s.class.(type) {
	case together:
		return placer.Gang{ID: unit.Workload(attempt), Size: size}
	case deferred:
		return placer.Batch{Checkpoints: class.checkpoints && repeatable}
	default:
		return placer.Service{}
	}
}

// task describes a task of a request to the placer.
func (s spec) task(id, attempt unit.Task, size int, r dispatcher.Request) placer.Task {
	return placer.Task{
		ID:         id,
		Team:       s.team,
		Account:    r.Account,
		Workload:   s.work,
		Kind:       s.kind(attempt, size, r.Repeatable),
		Need:       s.need,
		Urgent:     s.urgent,
		Repeatable: r.Repeatable,
		RunTime:    s.runTime,
		DependsOn:  s.after,
	}
}

// specOf returns the spec of a request; ok is false if the configuration in
// force has neither its queue nor its work.
func (k *core) specOf(r dispatcher.Request) (s spec, ok bool) {
	if key, is := parser.WorkloadKeyOf(r.ID); is {
		s, ok = k.works[key]
		return s, ok
	}
	queue, ok := k.config.FindQueue(r.Queue)
	return queueSpec(queue), ok
}

// size returns how many tasks of a request start together.
func (k *core) size(r dispatcher.Request) int {
	s, _ := k.specOf(r)
	return max(s.size, 1)
}

func queueSpec(q parser.Queue) spec {
	s := spec{
		team: q.Team, work: unit.Workload("queue/" + q.Name), class: steady{}, need: q.Need, urgent: q.Urgent,
		runTime: q.RunTime, size: 1, queue: q.Name, maxWaiting: q.MaxWaiting,
	}
	switch class := q.Class.(type) {
	case parser.AllAtOnce:
		s.class, s.size = together{}, class.Tasks
	case parser.Deferred:
		s.class = deferred{checkpoints: class.Checkpoints}
	}
	return s
}

// workSpecs returns the specs of the text's work.
func workSpecs(c parser.Config) map[parser.WorkloadKey]spec {
	specs := map[parser.WorkloadKey]spec{}
	for _, s := range c.Services {
		specs[s.Key()] = spec{team: s.Team, work: s.Name, class: steady{}, need: s.Need, after: s.After, size: 1}
	}
	for _, b := range c.Batches {
		specs[b.Key()] = spec{
			team: b.Team, work: b.Name, class: deferred{checkpoints: b.Checkpoints}, need: b.Need,
			runTime: b.RunTime, after: b.After, size: 1,
		}
	}
	for _, j := range c.Jobs {
		specs[j.Key()] = spec{
			team: j.Team, work: j.Name, class: together{}, need: j.Need, urgent: j.Urgent,
			runTime: j.RunTime, after: j.After, size: j.Tasks,
		}
	}
	return specs
}
