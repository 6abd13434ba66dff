package keeper

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// State is the state of a domain. As a replicator.StateMachine it is safe for
// concurrent use; the fields and the other methods belong to the one goroutine
// that owns a State which no log is applied to.
type State struct {
	mu sync.Mutex

	Config    Config
	Upstreams map[unit.Upstream]*UpstreamState
	Jobs      map[JobID]*Job
	// EndedIncarnations is the latest life of each former upstream that has surely ended, so
	// that a late report doesn't bring it back.
	EndedIncarnations map[unit.Upstream]Incarnation
	// Used is what each account has in live runs.
	Used map[unit.ClientAccount]unit.Resources
}

var _ replicator.StateMachine = (*State)(nil)

// New returns an empty state.
func New() *State {
	return &State{
		Upstreams:         map[unit.Upstream]*UpstreamState{},
		Jobs:              map[JobID]*Job{},
		EndedIncarnations: map[unit.Upstream]Incarnation{},
		Used:              map[unit.ClientAccount]unit.Resources{},
	}
}

// Apply implements replicator.StateMachine.
func (s *State) Apply(_ replicator.Index, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, err := DecodeBatch(command)
	if err != nil {
		// The entry was written by a holder of a newer version; going on would
		// leave a copy that differs without a sign.
		panic(errors.Wrap(err, "keeper: an entry of the log can't be decoded"))
	}
	for _, c := range list {
		s.ApplyCommand(c)
	}
	return nil
}

type snapshot struct {
	_         struct{} `cbor:",toarray"`
	Config    Config
	Upstreams []Upstream
	Jobs      []*Job
	Over      map[unit.Upstream]Incarnation
}

// Snapshot implements replicator.StateMachine.
func (s *State) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out snapshot
	out.Config, out.Over = s.Config, s.EndedIncarnations
	for _, h := range s.Upstreams {
		out.Upstreams = append(out.Upstreams, h.Upstream)
	}
	slices.SortFunc(out.Upstreams, func(a, b Upstream) int { return compare(a.ID, b.ID) })
	for _, j := range s.Jobs {
		out.Jobs = append(out.Jobs, j)
	}
	slices.SortFunc(out.Jobs, func(a, b *Job) int { return compare(a.ID, b.ID) })
	return encoder.Marshal(out)
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
	var in snapshot
	if err := encoder.Unmarshal(data, &in); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Config = in.Config
	s.Upstreams, s.Jobs = map[unit.Upstream]*UpstreamState{}, map[JobID]*Job{}
	s.Used, s.EndedIncarnations = map[unit.ClientAccount]unit.Resources{}, in.Over
	if s.EndedIncarnations == nil {
		s.EndedIncarnations = map[unit.Upstream]Incarnation{}
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
	for k, o := range j.Occurrences {
		for i, st := range o.Steps {
			for x, t := range st.Tasks {
				for _, r := range t.LiveRuns {
					s.hold(j, TaskID{Job: j.ID, Occurrence: k, Step: i, Index: x}, r)
				}
			}
		}
	}
}

// hold counts a live run against its upstream and its account.
func (s *State) hold(j *Job, t TaskID, r *Run) {
	need := s.NeedOf(&j.Submission.Steps[t.Step])
	if h := s.Upstreams[r.Upstream]; h != nil {
		h.Runs[RunKey{Task: t, Number: r.Number}] = Allocation{Need: need, Account: j.Account, Incarnation: r.Incarnation, At: r.At}
		h.Used = h.Used.Add(need)
	}
	s.Used[j.Account] = s.Used[j.Account].Add(need)
}

// NeedOf returns what a run of a step takes of its upstream.
func (s *State) NeedOf(step *Step) unit.Resources {
	need := step.Need
	if step.BestEffortCPU {
		need.CPU = 0
	}
	return need
}
