// Package registrar implements the state machine of the replicated log. Its
// state consists of the versions of the configuration, the keys, the epoch of
// each zone's scheduler, the allotments of team limits, and the records of
// requests that must survive failures.
//
// A Registrar is a replicator.StateMachine. Every instance applies the same
// commands in the order of the log, so all copies are equal at the same index.
// The query methods are safe for concurrent use. Callers must not modify the
// values that they return.
//
// Apply doesn't read a clock, since the copies would then differ. A command that
// needs the time contains the proposer's time, and the state's time is the
// latest one of all applied commands.
package registrar

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/limiter"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// EndedRetention is how long the record of an ended request is kept, so that a
// resent request gets its outcome.
const EndedRetention = clock.Hour

// maxConfigAnswers is the maximum number of answers to PutConfig that are kept
// for resends.
const maxConfigAnswers = 1024

// maxHistoryEntries is the maximum number of entries in the history of the
// configuration.
const maxHistoryEntries = 1000

// state is the content of a snapshot.
type state struct {
	// Index is the index of the last applied command.
	Index replicator.Index
	// Time is the latest time of all applied commands.
	Time    clock.Millis
	Version unit.Version
	Text    []byte
	// Operator submitted the current version.
	Operator string
	History  []HistoryEntry
	Answered []configAnswer
	Ring     authenticator.Ring
	Zones    map[unit.AvailabilityZone]Zone
	Fleet    limiter.FleetQuota
	Records  map[unit.Request]Record
	// Ended lists the ended requests whose records are deleted after
	// EndedRetention, in the order of deletion.
	Ended []unit.Request
}

// HistoryEntry describes one accepted configuration.
type HistoryEntry struct {
	Version  unit.Version
	Operator string
	At       clock.Millis
}

// configAnswer is the answer to a PutConfig, kept for its resends.
type configAnswer struct {
	ID string
	// TextSum is the SHA-256 of the text.
	TextSum []byte
	// Result is the encoded Result.
	Result []byte
}

// Registrar is the replicated state and its indexes.
type Registrar struct {
	mu     sync.RWMutex
	state  state
	config parser.Config
	// workloads holds the keys of the workloads in config.
	workloads map[parser.WorkloadKey]bool
	// open holds the ids of the open records of each zone; derived from state.
	open        map[unit.AvailabilityZone]map[unit.Request]bool
	subscribers []func(replicator.Index)
}

var _ replicator.StateMachine = (*Registrar)(nil)

// New returns a Registrar with an empty state.
func New() *Registrar {
	return &Registrar{state: emptyState(), open: map[unit.AvailabilityZone]map[unit.Request]bool{}}
}

func emptyState() state {
	return state{
		Zones:   map[unit.AvailabilityZone]Zone{},
		Records: map[unit.Request]Record{},
	}
}

// Subscribe registers f to be called after each applied command and each
// restored snapshot, on the goroutine that applies them. f must not block.
// Subscribe must be called before the log starts.
func (r *Registrar) Subscribe(f func(replicator.Index)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Apply implements replicator.StateMachine. It panics if the command can't be
// decoded: a newer version of the program wrote it, and skipping it would make
// this copy differ from the others.
func (r *Registrar) Apply(index replicator.Index, command []byte) []byte {
	v, err := commands.Unmarshal(command)
	if err != nil {
		panic(errors.Wrapf(err, "registrar: decoding the command at index %d", index))
	}
	r.mu.Lock()
	r.state.Index = index
	result := r.apply(v.(Command))
	subs := r.subscribers
	r.mu.Unlock()
	for _, f := range subs {
		f(index)
	}
	return results.Marshal(result)
}

// Snapshot implements replicator.StateMachine.
func (r *Registrar) Snapshot() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return encoder.Marshal(r.state)
}

// Restore implements replicator.StateMachine.
func (r *Registrar) Restore(snapshot []byte) error {
	restored := emptyState()
	if err := encoder.Unmarshal(snapshot, &restored); err != nil {
		return err
	}
	config := parser.ParseLenient(restored.Text)
	r.mu.Lock()
	r.state, r.config, r.workloads = restored, config, config.WorkloadKeys()
	r.open = map[unit.AvailabilityZone]map[unit.Request]bool{}
	for _, rec := range restored.Records {
		r.indexOpen(rec)
	}
	subs := r.subscribers
	r.mu.Unlock()
	for _, f := range subs {
		f(restored.Index)
	}
	return nil
}

// putRecord stores a record. The caller must hold r.mu.
func (r *Registrar) putRecord(rec Record) {
	r.state.Records[rec.Request.ID] = rec
	r.indexOpen(rec)
}

// indexOpen adds a record to the open records of its zone, or removes it if it
// has ended. The caller must hold r.mu.
func (r *Registrar) indexOpen(rec Record) {
	zone := r.open[rec.AvailabilityZone]
	if zone == nil {
		zone = map[unit.Request]bool{}
		r.open[rec.AvailabilityZone] = zone
	}
	if rec.Open() {
		zone[rec.Request.ID] = true
	} else {
		delete(zone, rec.Request.ID)
	}
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(c Command) []byte { return commands.Marshal(c) }

// DecodeResult decodes the result of a command.
func DecodeResult(data []byte) (Result, error) {
	v, err := results.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	result, ok := v.(Result)
	if !ok {
		return nil, errors.Newf("decoded %T, want a result", v)
	}
	return result, nil
}
