package keeper

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Command is a fact that the holder records. The set is closed.
type Command interface{ command() }

// SetConfig records an accepted configuration.
type SetConfig struct {
	_      struct{} `cbor:",toarray"`
	Config Config
}

// SetUpstream records a new upstream, a new life or a changed description.
// AckedEndSeq is taken over from the same life.
type SetUpstream struct {
	_        struct{} `cbor:",toarray"`
	Upstream Upstream
}

// RemoveUpstream records that a life of an upstream has ended or that its
// lease surely has: all its runs have ended.
type RemoveUpstream struct {
	_           struct{} `cbor:",toarray"`
	ID          unit.Upstream
	Incarnation Incarnation
	// EndedIncarnation is the latest life that has surely ended; 0 if this one may come back.
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

// ForgetJob drops an ended job.
type ForgetJob struct {
	_  struct{} `cbor:",toarray"`
	ID JobID
}

// StartRun records the intent to start a task.
type StartRun struct {
	_           struct{} `cbor:",toarray"`
	Task        TaskID
	Number      int
	Upstream    unit.Upstream
	Incarnation Incarnation
	At          clock.Millis
}

// EndRun records how a run ended. EndSeq, if it isn't 0, is the number under
// which the upstream listed the end.
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

// AckEnds records that the ends of an upstream up to a number need no record.
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

// RunOutcome tells how a run ended.
type RunOutcome uint8

// Ends of runs.
const (
	// RunLost: the run doesn't exist and never will, and nothing is known of what
	// it did.
	RunLost RunOutcome = iota
	RunDone
	RunFailed
	RunStopped
	// RunExpired: the lease ended.
	RunExpired
	// RunGangBroken: another member of the gang ended.
	RunGangBroken
	// RunGangIncomplete: the other members of the gang didn't come in time.
	RunGangIncomplete
)

var commands = encoder.NewSet(
	SetConfig{}, SetUpstream{}, RemoveUpstream{}, AcceptJob{}, EndJob{}, ForgetJob{},
	StartRun{}, EndRun{}, SaveCheckpoint{}, AckEnds{},
)

// EncodeBatch encodes commands for one entry of the log.
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
