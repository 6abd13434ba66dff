package keeper

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Command is a decision or an observation that the leader records in the log. The
// set of its types is closed.
type Command interface{ command() }

// SetConfig records an accepted configuration.
type SetConfig struct {
	_      struct{} `cbor:",toarray"`
	Config Config
}

// SetUpstream records a new upstream, a new incarnation or a changed description.
// AckedEndSeq is kept if the incarnation is the same.
type SetUpstream struct {
	_        struct{} `cbor:",toarray"`
	Upstream Upstream
}

// RemoveUpstream records that an incarnation of an upstream has ended or that its
// lease must have expired. All runs of the incarnation have ended with it.
type RemoveUpstream struct {
	_           struct{} `cbor:",toarray"`
	ID          unit.Upstream
	Incarnation Incarnation
	// EndedIncarnation is the latest incarnation that is known to have ended; 0 if none
	// is. If it is lower than Incarnation, the removed one may come back.
	EndedIncarnation Incarnation
}

// AcceptJob records an accepted job.
type AcceptJob struct {
	_          struct{} `cbor:",toarray"`
	ID         JobID
	Account    unit.ClientAccount
	Queue      Queue
	Submission Submission
	At         clock.Millis
}

// EndJob records that a job was cancelled or has failed.
type EndJob struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Phase Phase
	At    clock.Millis
}

// ForgetJob removes an ended job from the state.
type ForgetJob struct {
	_  struct{} `cbor:",toarray"`
	ID JobID
}

// StartRun records the intent to start a task. Whether the task begins isn't known before an
// upstream has answered.
type StartRun struct {
	_           struct{} `cbor:",toarray"`
	Task        TaskID
	Number      int
	Upstream    unit.Upstream
	Incarnation Incarnation
	At          clock.Millis
}

// EndRun records the outcome of a run. EndSeq is the sequence number under which
// the upstream listed the end; 0 if the upstream didn't list it.
type EndRun struct {
	_           struct{} `cbor:",toarray"`
	Task        TaskID
	Number      int
	Upstream    unit.Upstream
	Incarnation Incarnation
	Outcome     RunOutcome
	Checkpoint  string
	EndSeq      int64
	At          clock.Millis
}

// SaveCheckpoint records the latest checkpoint of a running task.
type SaveCheckpoint struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Checkpoint string
}

// AckEnds acknowledges the ends that an upstream has listed up to EndSeq, without a
// change to any run.
type AckEnds struct {
	_           struct{} `cbor:",toarray"`
	Upstream    unit.Upstream
	Incarnation Incarnation
	EndSeq      int64
}

func (SetConfig) command()      {}
func (SetUpstream) command()    {}
func (RemoveUpstream) command() {}
func (AcceptJob) command()      {}
func (EndJob) command()         {}
func (ForgetJob) command()      {}
func (StartRun) command()       {}
func (EndRun) command()         {}
func (SaveCheckpoint) command() {}
func (AckEnds) command()        {}

// RunOutcome is how a run ended.
type RunOutcome uint8

// Outcomes of runs.
const (
	// RunLost means that the run doesn't exist and never will, and that it isn't
	// known whether it did anything. Every other outcome means that it had begun.
	RunLost RunOutcome = iota
	RunDone
	RunFailed
	RunStopped
	// RunExpired means that the upstream's lease has expired or that its incarnation
	// has ended.
	RunExpired
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken
	// RunGangIncomplete means that the other members of the gang didn't start in time.
	RunGangIncomplete
)

var commands = encoder.NewSet(
	SetConfig{}, SetUpstream{}, RemoveUpstream{}, AcceptJob{}, EndJob{}, ForgetJob{},
	StartRun{}, EndRun{}, SaveCheckpoint{}, AckEnds{}, SetEvacuation{},
)

// EncodeBatch encodes commands as one log entry.
func EncodeBatch(list []Command) []byte { return commands.Marshal(list) }

// DecodeBatch is the inverse of EncodeBatch.
func DecodeBatch(data []byte) ([]Command, error) {
	v, err := commands.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	values, ok := v.([]any)
	if !ok {
		return nil, errors.Newf("decoded %T, want a list of commands", v)
	}
	list := make([]Command, len(values))
	for i, x := range values {
		if list[i], ok = x.(Command); !ok {
			return nil, errors.Newf("decoded %T, want a command", x)
		}
	}
	return list, nil
}
