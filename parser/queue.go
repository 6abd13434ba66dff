package parser

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// MaxRunTime bounds the RunTime of queues, batches and jobs.
const MaxRunTime = 90 * clock.Day

func (r *reader) readQueues(v decoder.Value) {
	v.List(func(v decoder.Value) {
		d := demand{concurrentTasks: 1}
		q := Queue{Access: Keyed{}, Need: defaultNeed(), MaxWaiting: DefaultMaxWaiting}
		c := classReader{}
		v.Object(decoder.Fields{
			"Name":        func(v decoder.Value) { setName(&q.Name, r.queues.readUnique(v)) },
			"Team":        func(v decoder.Value) { setName(&q.Team, d.readTeam(v)) },
			"Access":      func(v decoder.Value) { q.Access = readAccess(v) },
			"Class":       func(v decoder.Value) { c.classValue = v; c.className = v.Choice(classNames...) },
			"Tasks":       func(v decoder.Value) { c.tasksValue = v; c.tasks = int(v.Integer(1, MaxTasks)) },
			"Checkpoints": func(v decoder.Value) { c.checkpointsValue = v; c.checkpoints = v.Bool() },
			"Urgent":      func(v decoder.Value) { c.urgentValue = v; q.Urgent = v.Bool() },
			"Need":        func(v decoder.Value) { d.needValue = v; readNeed(v, &q.Need) },
			"RunTime":     func(v decoder.Value) { q.RunTime, _ = v.Duration(1, MaxRunTime) },
			"MaxWaiting":  func(v decoder.Value) { q.MaxWaiting = int(v.Integer(1, MaxWaiting)) },
		}, "Name", "Team")
		q.Class = c.read(q.Urgent)
		if gang, ok := q.Class.(AllAtOnce); ok {
			d.concurrentTasks = gang.Tasks
		}
		r.addDemand(v, d, q.Need)
		r.config.Queues = append(r.config.Queues, q)
	})
}

func readAccess(v decoder.Value) Access {
	if v.Choice("Open", "Keyed") == "Open" {
		return Open{}
	}
	return Keyed{}
}

var classNames = []string{"Interactive", "Deferred", "AllAtOnce"}

// classReader holds the fields of a queue that determine its Class, each as a
// value for findings and as the value that was read.
type classReader struct {
	classValue, tasksValue, checkpointsValue, urgentValue decoder.Value
	className                                             string
	tasks                                                 int
	checkpoints                                           bool
}

// read returns the class and rejects fields that don't apply to it.
func (c classReader) read(urgent bool) Class {
	if c.className != "AllAtOnce" {
		c.tasksValue.Reject("only a queue of Class AllAtOnce has Tasks")
	}
	if c.className != "Deferred" {
		c.checkpointsValue.Reject("only a queue of Class Deferred has Checkpoints")
	}
	switch c.className {
	case "Deferred":
		if urgent {
			c.urgentValue.Reject("a queue of Class Deferred can't be urgent; make it Interactive or AllAtOnce")
		}
		return Deferred{Checkpoints: c.checkpoints}
	case "AllAtOnce":
		if !c.tasksValue.IsPresent() {
			c.classValue.Reject("a queue of Class AllAtOnce needs Tasks, the number of tasks that start together")
		}
		return AllAtOnce{Tasks: max(c.tasks, 1)}
	default:
		return Interactive{}
	}
}
