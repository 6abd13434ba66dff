package parser

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// MaxRunTime bounds a declared run time.
const MaxRunTime = 90 * clock.Day

func (r *reader) readQueues(v decoder.Value) {
	v.List(func(v decoder.Value) {
		d := demand{tasks: 1}
		q := Queue{Access: Keyed{}, Need: defaultNeed(), MaxWaiting: DefaultMaxWaiting}
		c := classReader{}
		v.Object(decoder.Fields{
			"Name":        func(v decoder.Value) { setName(&q.Name, r.queues.read(v)) },
			"Team":        func(v decoder.Value) { setName(&q.Team, d.readTeam(v)) },
			"Access":      func(v decoder.Value) { q.Access = readAccess(v) },
			"Class":       func(v decoder.Value) { c.class = v; c.name = v.Choice(classNames...) },
			"Tasks":       func(v decoder.Value) { c.tasks = v; c.count = int(v.Integer(1, MaxTasks)) },
			"Checkpoints": func(v decoder.Value) { c.checkpoints = v; c.saves = v.Bool() },
			"Urgent":      func(v decoder.Value) { c.urgent = v; q.Urgent = v.Bool() },
			"Need":        func(v decoder.Value) { d.need = v; readNeed(v, &q.Need) },
			"RunTime":     func(v decoder.Value) { q.RunTime, _ = v.Duration(1, MaxRunTime) },
			"MaxWaiting":  func(v decoder.Value) { q.MaxWaiting = int(v.Integer(1, MaxWaiting)) },
		}, "Name", "Team")
		q.Class = c.read(q.Urgent)
		if all, ok := q.Class.(AllAtOnce); ok {
			d.tasks = all.Tasks
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

// classReader gathers the fields of a queue that together make its Class.
type classReader struct {
	class, tasks, checkpoints, urgent decoder.Value
	name                              string
	count                             int
	saves                             bool
}

// read returns the class and rejects fields that contradict it.
func (c classReader) read(urgent bool) Class {
	if c.name != "AllAtOnce" {
		c.tasks.Reject("only a queue of Class AllAtOnce has Tasks")
	}
	if c.name != "Deferred" {
		c.checkpoints.Reject("only a queue of Class Deferred has Checkpoints")
	}
	switch c.name {
	case "Deferred":
		if urgent {
			c.urgent.Reject("a queue of Class Deferred can't be urgent; make it Interactive or AllAtOnce")
		}
		return Deferred{Checkpoints: c.saves}
	case "AllAtOnce":
		if !c.tasks.IsPresent() {
			c.class.Reject("a queue of Class AllAtOnce needs Tasks, the number of tasks that start together")
		}
		return AllAtOnce{Tasks: max(c.count, 1)}
	default:
		return Interactive{}
	}
}
