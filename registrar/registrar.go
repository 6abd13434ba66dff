// Package registrar is the state that the replicated log holds: versions of
// the configuration, keys, the epoch of each zone's scheduler, allotments of
// team limits, and the records of requests that must survive.
//
// A Registrar is a replicator.StateMachine: commands are applied in the order of
// the log on every instance, so all copies are equal at equal index. Readers
// use the query methods, which are safe for concurrent use; what they return
// must not be modified.
//
// Apply reads no clock. Where a command needs the time it carries the
// proposer's, and the state uses the latest time that it has seen.
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

// KeepEnded is how long the record of an ended request is kept for resends.
const KeepEnded = clock.Hour

// maxAnswered bounds the remembered answers to PutConfig.
const maxAnswered = 1024

// maxHistory bounds the remembered versions of the configuration.
const maxHistory = 1000

// state is all that a snapshot holds.
type state struct {
	Index   replicator.Index
	Time    clock.Millis
	Version unit.Version
	Text    []byte
	// Operator is who put the version in force.
	Operator string
	History  []HistoryEntry
	Answered []answered
	Ring     authenticator.Ring
	Zones    map[unit.AvailabilityZone]Zone
	Fleet    limiter.FleetQuota
	Records  map[unit.Request]Record
	// Ended lists ended requests in the order of their ends.
	Ended []unit.Request
}

// HistoryEntry is one accepted configuration.
type HistoryEntry struct {
	Version  unit.Version
	Operator string
	At       clock.Millis
}

// answered is the answer that a PutConfig got, for its resends.
type answered struct {
	ID      string
	TextSum []byte
	Result  []byte
}

// Registrar holds the registered state.
type Registrar struct {
	mu     sync.RWMutex
	st     state
	config parser.Config
	// works are the keys of the text's work; derived from config.
	works map[parser.WorkloadKey]bool
	// open holds the open records of each zone; it is derived from st.
	open map[unit.AvailabilityZone]map[unit.Request]bool
	subs []func(replicator.Index)
}

var _ replicator.StateMachine = (*Registrar)(nil)

// New returns the empty state.
func New() *Registrar {
	return &Registrar{st: emptyState(), open: map[unit.AvailabilityZone]map[unit.Request]bool{}}
}

func emptyState() state {
	return state{
		Zones:   map[unit.AvailabilityZone]Zone{},
		Records: map[unit.Request]Record{},
	}
}

// Subscribe calls f after each applied command or restored snapshot, on the
// applying goroutine; f must not block. It is called before the log starts.
func (r *Registrar) Subscribe(f func(replicator.Index)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs = append(r.subs, f)
}

// Apply implements replicator.StateMachine. A command that can't be decoded was
// written by a newer version of the program; applying on without it would let
// the copies differ, so it panics.
func (r *Registrar) Apply(index replicator.Index, command []byte) []byte {
	v, err := commands.Unmarshal(command)
	if err != nil {
		panic(errors.Wrapf(err, "registrar: command at index %d", index))
	}
	r.mu.Lock()
	r.st.Index = index
	result := r.apply(v.(Command))
	subs := r.subs
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
	return encoder.Marshal(r.st)
}

// Restore implements replicator.StateMachine.
func (r *Registrar) Restore(snapshot []byte) error {
	st := emptyState()
	if err := encoder.Unmarshal(snapshot, &st); err != nil {
		return err
	}
	config := parser.ParseLenient(st.Text)
	r.mu.Lock()
	r.st, r.config, r.works = st, config, config.WorkloadKeys()
	r.open = map[unit.AvailabilityZone]map[unit.Request]bool{}
	for _, rec := range st.Records {
		r.index(rec)
	}
	subs := r.subs
	r.mu.Unlock()
	for _, f := range subs {
		f(st.Index)
	}
	return nil
}

// put stores a record. The caller holds the lock.
func (r *Registrar) put(rec Record) {
	r.st.Records[rec.Request.ID] = rec
	r.index(rec)
}

// index notes whether a record is open.
func (r *Registrar) index(rec Record) {
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
