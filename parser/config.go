// Package parser turns the operator's text into a checked configuration.
//
// The text is YAML with Pascal-case names. Checking is strict: unknown and
// repeated fields, wrong units, missing names, cycles and contradicting
// shares and limits are all findings, and all findings are reported at once,
// each with its file, line, column and what is allowed. A text with a finding
// gives no configuration.
package parser

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config is a checked operator's text.
type Config struct {
	AvailabilityZones []AvailabilityZone
	Teams             []Team
	Queues            []Queue
	Services          []Service
	Batches           []Batch
	Jobs              []Job
	// Weights tells what the operator prefers where the measures compete.
	Weights Weights
}

// Weights orders the measures: waiting time, packing, nearness to share. They
// are relative; all zero means the defaults.
type Weights struct {
	Waiting int
	Packing int
	Share   int
}

// AvailabilityZone is a zone that work may run in.
type AvailabilityZone struct {
	Name unit.AvailabilityZone
	// Lost declares that nothing of the zone runs any more. Its allotments go
	// to the other zones and its work is started elsewhere.
	Lost bool
}

// Team has a share of a full cluster and an upper limit over the whole fleet.
type Team struct {
	Name  unit.Team
	Share int
	// Limit has unit.Unlimited in each dimension without a bound.
	Limit unit.Resources
}

// Access tells who may submit to a queue. The set is closed: Open, Keyed.
type Access interface{ access() }

// Open queues take work from everybody; it is charged to the queue's team.
type Open struct{}

// Keyed queues take work only with a key of the queue's team.
type Keyed struct{}

func (Open) access()  {}
func (Keyed) access() {}

// Class is the kind of work a queue takes. The set is closed: Interactive,
// Deferred, AllAtOnce.
type Class interface{ class() }

// Interactive requests are short and start as soon as they can.
type Interactive struct{}

// Deferred requests can wait and may be preempted.
type Deferred struct{ Checkpoints bool }

// AllAtOnce requests start Tasks tasks together or none.
type AllAtOnce struct{ Tasks int }

func (Interactive) class() {}
func (Deferred) class()    {}
func (AllAtOnce) class()   {}

// Queue takes callers' requests.
type Queue struct {
	Name   unit.Queue
	Team   unit.Team
	Access Access
	Class  Class
	Urgent bool
	Need   unit.Resources
	// RunTime is the declared run time; 0 if none.
	RunTime clock.Millis
	// MaxWaiting bounds the requests waiting per zone; more are refused.
	MaxWaiting int
}

// Service keeps Count tasks running, spread over zones and racks.
type Service struct {
	Name  unit.Workload
	Team  unit.Team
	Count int
	Need  unit.Resources
	After []unit.Workload
	Data  string
}

// Batch runs Count tasks once each, whenever they fit.
type Batch struct {
	Name        unit.Workload
	Team        unit.Team
	Count       int
	Need        unit.Resources
	RunTime     clock.Millis
	After       []unit.Workload
	Repeatable  bool
	Checkpoints bool
	Data        string
}

// Job runs Tasks tasks once, all at the same time, in one zone.
type Job struct {
	Name       unit.Workload
	Team       unit.Team
	Tasks      int
	Need       unit.Resources
	RunTime    clock.Millis
	After      []unit.Workload
	Repeatable bool
	Urgent     bool
	Data       string
}
