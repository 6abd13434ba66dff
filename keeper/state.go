package keeper

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// State is the state of a domain. The methods of replicator.StateMachine are safe
// for concurrent use. The fields and the other methods may be used only on a
// State that no log is applied to, and by one goroutine at a time.
type State struct {
	mu sync.Mutex

	Config    Config
	Upstreams map[unit.Upstream]*UpstreamState
	Jobs      map[JobID]*Job
	// EndedIncarnations is the latest incarnation of each removed upstream that is known
	// to have ended, so that a late report doesn't add it again.
	EndedIncarnations map[unit.Upstream]Incarnation
	// EvacuatedZones are the availability zones in which no task may start.
	EvacuatedZones map[unit.AvailabilityZone]bool
	// Used is the sum of the needs of each account's live runs.
	Used map[unit.ClientAccount]unit.Resources

	// Now reads the clock that dates Allocation.AppliedAt on this replica. It may be nil.
	Now func() clock.Millis
	// Observer is called as commands are applied, under the lock. It may be nil. Neither it
	// nor what it has learned is part of the replicated state or of a snapshot.
	Observer Observer
}

var _ replicator.StateMachine = (*State)(nil)

// New returns an empty state.
func New() *State {
	return &State{
		Upstreams:         map[unit.Upstream]*UpstreamState{},
		Jobs:              map[JobID]*Job{},
		EndedIncarnations: map[unit.Upstream]Incarnation{},
		EvacuatedZones:    map[unit.AvailabilityZone]bool{},
		Used:              map[unit.ClientAccount]unit.Resources{},
	}
}

// Apply implements replicator.StateMachine.
func (s *State) Apply(_ replicator.Index, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, err := DecodeBatch(command)
	if err != nil {
		// A leader of a newer version wrote the entry. Skipping it would make
		// this replica differ from the others without any error.
		panic(errors.Wrap(err, "keeper: decode a log entry"))
	}
	for _, c := range list {
		s.ApplyCommand(c)
	}
	return nil
}

type snapshot struct {
	_                 struct{} `cbor:",toarray"`
	Config            Config
	Upstreams         []Upstream
	Jobs              []*Job
	EndedIncarnations map[unit.Upstream]Incarnation
}

// Snapshot implements replicator.StateMachine.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marshal()
}

func (s *State) marshal() []byte {
	var out snapshot
	out.Config, out.EndedIncarnations = s.Config, s.EndedIncarnations
	for _, u := range s.Upstreams {
		out.Upstreams = append(out.Upstreams, u.Upstream)
	}
	slices.SortFunc(out.Upstreams, func(a, b Upstream) int { return compare(a.ID, b.ID) })
	for _, j := range s.Jobs {
		out.Jobs = append(out.Jobs, j)
	}
	slices.SortFunc(out.Jobs, func(a, b *Job) int { return compare(a.ID, b.ID) })
	return encodeSnapshot(out, s.SortedEvacuations())
}

// Clone returns a copy of the state, which no log is applied to. Unlike a snapshot, it
// includes what only this replica knows.
func (s *State) Clone() (*State, error) {
	s.mu.Lock()
	data := s.marshal()
	appliedAt := map[RunKey]clock.Millis{}
	for _, u := range s.Upstreams {
		for key, allocation := range u.Runs {
			appliedAt[key] = allocation.AppliedAt
		}
	}
	clone := New()
	if s.Observer != nil {
		clone.Observer = s.Observer.Clone()
	}
	s.mu.Unlock()
	if err := clone.Restore(data); err != nil {
		return nil, err
	}
	for _, u := range clone.Upstreams {
		for key, allocation := range u.Runs {
			allocation.AppliedAt = appliedAt[key]
			u.Runs[key] = allocation
		}
	}
	return clone, nil
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Restore implements replicator.StateMachine.
func (s *State) Restore(data []byte) error {
	in, zones, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Config = in.Config
	s.Upstreams, s.Jobs = map[unit.Upstream]*UpstreamState{}, map[JobID]*Job{}
	s.Used, s.EndedIncarnations = map[unit.ClientAccount]unit.Resources{}, in.EndedIncarnations
	if s.EndedIncarnations == nil {
		s.EndedIncarnations = map[unit.Upstream]Incarnation{}
	}
	s.EvacuatedZones = map[unit.AvailabilityZone]bool{}
	for _, zone := range zones {
		s.EvacuatedZones[zone] = true
	}
	for _, u := range in.Upstreams {
		s.Upstreams[u.ID] = &UpstreamState{Upstream: u, Runs: map[RunKey]Allocation{}}
	}
	for _, j := range in.Jobs {
		s.Jobs[j.ID] = j
		s.restoreRuns(j)
	}
	return nil
}

func (s *State) restoreRuns(j *Job) {
	for occurrence, o := range j.Occurrences {
		for step, st := range o.Steps {
			for index, t := range st.Tasks {
				for _, r := range t.LiveRuns {
					s.charge(j, TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}, r)
				}
			}
		}
	}
}

// charge adds the need of a live run to Used of its upstream and its account.
func (s *State) charge(j *Job, t TaskID, r *Run) {
	need := s.NeedOf(&j.Submission.Steps[t.Step])
	var appliedAt clock.Millis
	if s.Now != nil {
		appliedAt = s.Now()
	}
	if u := s.Upstreams[r.Upstream]; u != nil {
		u.Runs[RunKey{Task: t, Number: r.Number}] = Allocation{
			Need: need, Account: j.Account, Incarnation: r.Incarnation, StartedAt: r.StartedAt, AppliedAt: appliedAt,
		}
		u.Used = u.Used.Add(need)
	}
	s.Used[j.Account] = s.Used[j.Account].Add(need)
}

// NeedOf returns the resources that a run of a step is charged for. They don't include
// the CPU of a best-effort step.
func (s *State) NeedOf(step *Step) unit.Resources {
	need := step.Need
	if step.BestEffortCPU {
		need.CPU = 0
	}
	return need
}
