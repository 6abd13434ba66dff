// Package parser parses and checks the operator's text, which configures the
// availability zones, teams, queues and workloads of the whole system.
//
// The text is YAML with field names in Pascal case. Checks are strict: unknown
// and repeated fields, wrong units, undefined names, dependency cycles and
// needs above a team's limit are findings. Parse reports all findings at once,
// each with its file, line, column and the allowed values. A text with a
// finding yields no configuration.
package parser

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config is the configuration that an operator's text describes.
type Config struct {
	AvailabilityZones []AvailabilityZone
	Teams             []Team
	Queues            []Queue
	Services          []Service
	Batches           []Batch
	Jobs              []Job
	// Weights sets the priorities among competing scheduling goals.
	Weights Weights
}

// Weights holds the relative weights of the scheduling goals: short waiting
// times, dense packing and fair shares. All zero means the defaults.
type Weights struct {
	Waiting int
	Packing int
	Share   int
}

// AvailabilityZone is a zone in which tasks may run.
type AvailabilityZone struct {
	Name unit.AvailabilityZone
	// Lost declares that nothing runs in the zone any more. Its allotments go
	// to the other zones, and its tasks are started there.
	Lost bool
}

// Team has a fair share, which counts when the cluster is full, and a limit on
// the resources that it uses in the whole fleet.
type Team struct {
	Name  unit.Team
	Share int
	// Limit is unit.Unlimited in each dimension for which the text sets no
	// limit.
	Limit unit.Resources
}

// Access defines who may submit requests to a queue. It is Open or Keyed.
type Access interface{ access() }

// Open is the access of a queue that accepts requests from anyone. They are
// charged to the queue's team.
type Open struct{}

// Keyed is the access of a queue that accepts only requests with a key of the
// queue's team.
type Keyed struct{}

func (Open) access()  {}
func (Keyed) access() {}

// Class is the kind of requests that a queue accepts. It is Interactive,
// Deferred or AllAtOnce.
type Class interface{ class() }

// Interactive is the class of short requests that start as soon as possible.
type Interactive struct{}

// Deferred is the class of requests that can wait and may be preempted.
type Deferred struct{ Checkpoints bool }

// AllAtOnce is the class of requests that run as a gang: either all of their
// Tasks tasks start together or none starts.
type AllAtOnce struct{ Tasks int }

func (Interactive) class() {}
func (Deferred) class()    {}
func (AllAtOnce) class()   {}

// Queue accepts requests from callers.
type Queue struct {
	Name   unit.Queue
	Team   unit.Team
	Access Access
	Class  Class
	Urgent bool
	Need   unit.Resources
	// RunTime is the declared run time of a request, or 0 if the text sets
	// none.
	RunTime clock.Millis
	// MaxWaiting bounds the requests that wait in each zone; further ones are
	// refused.
	MaxWaiting int
}

// Service is a workload of Count tasks that are kept running, spread over
// zones and racks.
type Service struct {
	Name  unit.Workload
	Team  unit.Team
	Count int
	Need  unit.Resources
	After []unit.Workload
	Data  string
}

// Batch is a workload of Count tasks. Each runs once, as soon as there is
// capacity for it.
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

// Job is a workload of Tasks tasks that run once, all at the same time, in one
// zone.
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
