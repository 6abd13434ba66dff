package keeper

import (
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// JobID names a job; the client chooses it.
type JobID string

// Step is a part of a job: tasks that are alike.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  unit.Resources
	// Estimate is the client's rough guess of a task's duration.
	Estimate clock.Millis
	// DependsOn are earlier steps whose tasks must all be done first.
	DependsOn     []int
	Checkpointing bool
	// Gang tasks work only together and end together.
	Gang bool
	// SameRack gangs are slow on more than one rack.
	SameRack bool
	// Requires is a label that the upstream must have.
	Requires string
	// DataRack is the rack on which the tasks are fast.
	DataRack unit.Rack
	// MaxPerUpstream bounds the step's tasks on one upstream; 0 is no bound.
	MaxPerUpstream int
	// Speculative allows copies of a task to run at once.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// TargetTailLatency bounds the tail of a serving task's response times.
	TargetTailLatency clock.Millis
	// BestEffortCPU: the processor need isn't counted against the upstream's capacity.
	BestEffortCPU bool
	// MaxUnavailable is how many long-running tasks may be away by the system's doing.
	MaxUnavailable int
}

// Queue is the part of a queue's configuration that a job keeps from its
// acceptance, so that it can end after the queue was removed.
type Queue struct {
	_       struct{} `cbor:",toarray"`
	Name    unit.Queue
	Service string
	// Priority orders the queues; 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task or gang.
	MaxAttempts int
	// Stretch times the job's longest chain of work, plus TargetLatency, is the
	// objective.
	Stretch       float64
	TargetLatency clock.Millis
	// RequiresTicket: a start needs a ticket of the advice service.
	RequiresTicket bool
	// TicketTTL is for how long a ticket is valid.
	TicketTTL clock.Millis
	// AdviceBase and AdvicePerUpstream are the service's time for a call and for each
	// upstream named in it, in milliseconds.
	AdviceBase, AdvicePerUpstream float64
}

// Submission is what a client hands in.
type Submission struct {
	_     struct{} `cbor:",toarray"`
	Spec  string
	Steps []Step
	// StartAt, Interval and Repeat describe a job whose steps run Repeat times;
	// 0 is once and at once. StartAt is Unix time.
	StartAt  clock.Millis
	Interval clock.Millis
	Repeat   int
}

// Phase is where a job stands.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// IsFinal reports whether the job has ended.
func (p Phase) IsFinal() bool { return p >= Completed }

// Job is an accepted job.
type Job struct {
	_          struct{} `cbor:",toarray"`
	ID         JobID
	Account    unit.ClientAccount
	Queue      Queue
	Submission Submission
	AcceptedAt clock.Millis
	Phase      Phase
	// EndedAt is when Phase became final.
	EndedAt clock.Millis
	// Occurrences holds those that have begun or ended, by number.
	Occurrences map[int]*Occurrence
	// DoneOccurrences counts those of which all steps are done.
	DoneOccurrences int
	// LiveRunCount counts the live runs.
	LiveRunCount int
}

// Total returns how often the job's steps run.
func (j *Job) Total() int { return max(j.Submission.Repeat, 1) }

// DueAt returns when an occurrence may start; 0 for a job without times.
func (j *Job) DueAt(occurrence int) clock.Millis {
	if j.Submission.Repeat == 0 {
		return 0
	}
	return j.Submission.StartAt + clock.Millis(occurrence)*j.Submission.Interval
}

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Steps []*StepState
	// DoneSteps counts the steps whose tasks are all done.
	DoneSteps int
}

// StepState is a step of an occurrence.
type StepState struct {
	_     struct{} `cbor:",toarray"`
	Tasks []*Task
	// DoneTasks counts the tasks that are done.
	DoneTasks int
	// LastRun, Failures and LastFailed are those of a gang as a whole.
	LastRun    int
	Failures   int
	LastFailed int
	// Checkpoint is the gang's latest.
	Checkpoint string
}

// Task is one task of a step.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done: a run has ended well.
	Done bool
	// LastRun is the highest number that a run of it had.
	LastRun    int
	Failures   int
	Checkpoint string
	LiveRuns   []*Run
}

// Run is a start of a task that may exist on an upstream.
type Run struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	Upstream unit.Upstream
	// Incarnation is that of the upstream.
	Incarnation Incarnation
	// At is when the start was decided, by the holder's clock.
	At clock.Millis
}

// TaskID names a task.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String is the task's name in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", string(t.Job), t.Occurrence, t.Step, t.Index)
}

// StepID names a step of an occurrence.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// TaskID returns a task of the step.
func (s StepID) TaskID(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}

// String is the step's name in logs.
func (s StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", string(s.Job), s.Occurrence, s.Step)
}
