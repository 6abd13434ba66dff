package keeper

import (
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// JobID identifies a job; the client chooses it.
type JobID string

// Step is a part of a job that consists of Count equal tasks.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  unit.Resources
	// Estimate is the client's rough estimate of a task's duration.
	Estimate clock.Millis
	// DependsOn are the indexes of the earlier steps that must be done first.
	DependsOn     []int
	Checkpointing bool
	// Gang is true if the tasks must start together and end together.
	Gang bool
	// SameRack is true if a gang is slow when it spans more than one rack.
	SameRack bool
	// Requires is a label that the upstream must have.
	Requires string
	// DataRack is the rack that holds the tasks' data; they run fast there.
	DataRack unit.Rack
	// MaxPerUpstream bounds the tasks of the step on one upstream; 0 means no bound.
	MaxPerUpstream int
	// Speculative allows several runs of a task at the same time.
	Speculative bool
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// TargetTailLatency is the objective for the tail latency of a task that serves
	// requests.
	TargetTailLatency clock.Millis
	// BestEffortCPU is true if the CPU need is charged neither to the upstream nor to
	// the account.
	BestEffortCPU bool
	// MaxUnavailable is how many long-running tasks the scheduler may interrupt at
	// the same time.
	MaxUnavailable int
}

// Queue is the part of a queue's configuration of which an accepted job keeps a copy,
// so that the job can end after the queue was removed.
type Queue struct {
	_       struct{} `cbor:",toarray"`
	Name    unit.Queue
	Service string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// MaxAttempts bounds the failed runs of a task or a gang.
	MaxAttempts int
	// Stretch and TargetLatency define the latency objective of a job: Stretch times
	// its longest chain of dependent steps, plus TargetLatency.
	Stretch       float64
	TargetLatency clock.Millis
	// RequiresTicket is true if a start needs an admission ticket of the advice service.
	RequiresTicket bool
	// TicketTTL is how long a ticket is valid.
	TicketTTL clock.Millis
	// AdviceBaseMillis and AdvicePerUpstreamMillis are the response time of the advice
	// service: its constant part and the part for each upstream of a request.
	AdviceBaseMillis, AdvicePerUpstreamMillis float64
}

// Submission is a job as the client submits it.
type Submission struct {
	_     struct{} `cbor:",toarray"`
	Spec  string
	Steps []Step
	// StartAt, Interval and Repeat describe a job whose steps run Repeat times, first
	// at StartAt (Unix time) and then once per Interval. If Repeat is 0, they run once
	// and immediately.
	StartAt  clock.Millis
	Interval clock.Millis
	Repeat   int
}

// Phase is the phase of a job.
type Phase uint8

// Phases of a job.
const (
	// Queued means that no run of the job has ended of which it is known that it had begun.
	// Which live runs have begun is known to the leader only.
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
	// Occurrences holds the occurrences that have begun or ended, by number.
	Occurrences map[int]*Occurrence
	// DoneOccurrences counts the occurrences of which all steps are done.
	DoneOccurrences int
	// LiveRunCount is the number of live runs of all tasks.
	LiveRunCount int
}

// OccurrenceCount returns how many occurrences the job has.
func (j *Job) OccurrenceCount() int { return max(j.Submission.Repeat, 1) }

// DueAt returns the Unix time from which an occurrence may start; 0 if the job has
// no schedule.
func (j *Job) DueAt(occurrence int) clock.Millis {
	if j.Submission.Repeat == 0 {
		return 0
	}
	return j.Submission.StartAt + clock.Millis(occurrence)*j.Submission.Interval
}

// Occurrence is one pass through the steps of a job.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Steps []*StepState
	// DoneSteps counts the steps whose tasks are all done.
	DoneSteps int
}

// StepState is the state of a step in one occurrence.
type StepState struct {
	_     struct{} `cbor:",toarray"`
	Tasks []*Task
	// DoneTasks counts the tasks that are done.
	DoneTasks int
	// LastRun is the highest run number of a task of the step. Failures counts the
	// failed runs of a gang, and LastFailedRun is the highest number of these.
	LastRun       int
	Failures      int
	LastFailedRun int
	// Checkpoint is the latest checkpoint of any task of the step.
	Checkpoint string
}

// Task is the state of one task of a step.
type Task struct {
	_ struct{} `cbor:",toarray"`
	// Done is true if a run of the task, or of its gang, has succeeded.
	Done bool
	// LastRun is the highest run number of the task.
	LastRun    int
	Failures   int
	Checkpoint string
	LiveRuns   []*Run
}

// Run is a live run of a task: it may exist on its upstream.
type Run struct {
	_        struct{} `cbor:",toarray"`
	Number   int
	Upstream unit.Upstream
	// Incarnation is the upstream's incarnation that the run was started on.
	Incarnation Incarnation
	// StartedAt is when the start was decided, by the leader's clock.
	StartedAt clock.Millis
}

// TaskID identifies a task.
type TaskID struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", string(t.Job), t.Occurrence, t.Step, t.Index)
}

// StepID identifies a step of an occurrence.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// StepID returns the ID of the task's step.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// TaskID returns the ID of a task of the step.
func (s StepID) TaskID(index int) TaskID {
	return TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}

// String returns the step's name in logs.
func (s StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", string(s.Job), s.Occurrence, s.Step)
}
