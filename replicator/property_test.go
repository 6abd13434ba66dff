package replicator

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// defaultChecks is the default number of scenarios for each number of voters.
const defaultChecks = "25"

// TestMain fixes the seed and the number of checks, so that the result in CI is
// reproducible. A long run with fresh seeds:
//
//	go test ./replicator -run Safety -timeout 0 -rapid.checks=5000 -args -fresh
func TestMain(m *testing.M) {
	fresh := flag.Bool("fresh", false, "use a fresh seed for the property tests")
	_ = flag.Set("rapid.checks", defaultChecks)
	flag.Parse()
	if !*fresh {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// action is one step of a scenario.
type action struct {
	Kind  int
	Node  int
	Other int
	Arg   int
}

// Kinds of actions.
const (
	actionRun = iota
	actionPropose
	actionRead
	actionCrash
	actionCrashInFlush
	actionRestart
	actionPause
	actionPartition
	actionIsolate
	actionHeal
	actionLoseDisk
	actionTransfer
	actionToggleLoss
	actionAddInstance
	actionLeave
	actionKinds
)

// actionWeights are the relative frequencies of the kinds of actions.
var actionWeights = [actionKinds]int{
	actionRun: 12, actionPropose: 14, actionRead: 5, actionCrash: 1, actionCrashInFlush: 3, actionRestart: 4, actionPause: 2,
	actionPartition: 2, actionIsolate: 2, actionHeal: 3, actionLoseDisk: 1, actionTransfer: 1, actionToggleLoss: 1, actionAddInstance: 1,
}

func scenarios(weights [actionKinds]int) *rapid.Generator[[]action] {
	var kinds []int
	for k, w := range weights {
		for range w {
			kinds = append(kinds, k)
		}
	}
	one := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, 11).Draw(t, "node"),
			Other: rapid.IntRange(0, 11).Draw(t, "other"),
			Arg:   rapid.IntRange(0, 99).Draw(t, "arg"),
		}
	})
	return rapid.SliceOfN(one, 20, 150)
}

// simulate runs a scenario and returns the invariant violation or the failed
// recovery, if there is one.
func simulate(voters int, seed uint64, list []action, b breakage) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case invariantViolation:
			err = p
		case noConvergence:
			err = p
		case string:
			// A failed assertion.
			err = errors.Newf("%s", p)
		default:
			panic(p)
		}
	}()
	s := newSim(voters, seed, b)
	s.run(3 * simElectionTimeout)
	for _, a := range list {
		s.perform(a)
	}
	s.converge()
	return nil
}

func (s *sim) perform(a action) {
	n := s.nodes[a.Node%len(s.nodes)]
	switch a.Kind {
	case actionRun:
		s.run(clock.Millis(1 + a.Arg*a.Arg/3))
	case actionPropose:
		s.propose(n, a.Arg)
	case actionRead:
		s.read(n)
	case actionCrash:
		n.crash()
	case actionCrashInFlush:
		n.crashIn = 1 + a.Arg%12
	case actionRestart:
		n.start()
	case actionPause:
		n.pausedUntil = s.now + clock.Millis(a.Arg*40)
	case actionPartition:
		o := s.nodes[a.Other%len(s.nodes)]
		s.partitioned[[2]unit.Instance{n.id, o.id}] = true
		if a.Arg%3 > 0 {
			s.partitioned[[2]unit.Instance{o.id, n.id}] = true
		}
	case actionIsolate:
		s.isolate(n)
	case actionHeal:
		s.partitioned = map[[2]unit.Instance]bool{}
	case actionLoseDisk:
		s.loseDisk(n)
	case actionTransfer:
		s.transfer()
	case actionToggleLoss:
		s.lossy = !s.lossy
	case actionAddInstance:
		if len(s.nodes) < len(s.initialVoters)+2 {
			s.add(unit.Instance(fmt.Sprintf("x%d", len(s.nodes))))
		}
	case actionLeave:
		s.stopAsPlanned(n, clock.Millis(a.Arg*20))
	}
}

// propose sends a compare-and-set, with the version that near has applied, to a node
// with the role of leader, which may be outdated.
func (s *sim) propose(near *simNode, arg int) {
	for i := range s.nodes {
		n := s.nodes[(i+arg)%len(s.nodes)]
		if n.core == nil || n.core.role != roleLeader || n.pausedUntil > s.now {
			continue
		}
		op := &simOp{id: uint64(len(s.ops) + 1), ackedBefore: s.ackedIndex}
		command := encoder.Marshal(simCommand{ID: op.id, Expect: near.machine.Version})
		first, term, ok := n.core.Propose(n.localTime(), command)
		if !ok {
			continue
		}
		op.term = term
		n.pending[first] = op
		s.ops = append(s.ops, op)
		n.flush()
		return
	}
}

func (s *sim) read(n *simNode) {
	if n.core == nil {
		return
	}
	op := &simOp{ackedBefore: s.ackedIndex}
	op.read = n.core.StartRead(n.localTime())
	n.reads = append(n.reads, op)
	if n.pausedUntil <= s.now {
		n.flush()
	}
}

func (s *sim) isolate(n *simNode) {
	for _, o := range s.nodes {
		s.partitioned[[2]unit.Instance{n.id, o.id}] = true
		s.partitioned[[2]unit.Instance{o.id, n.id}] = true
	}
}

func (s *sim) loseDisk(n *simNode) {
	if !s.canLoseDisk(n) {
		return
	}
	n.crash()
	n.newDisk()
	n.start()
}

func (s *sim) transfer() {
	for _, n := range s.nodes {
		if n.core != nil && n.core.role == roleLeader && n.pausedUntil <= s.now {
			n.core.TransferLeadership(n.localTime())
			n.flush()
		}
	}
}

func TestPropertySafety(t *testing.T) {
	for name, voters := range map[string]int{"3 voters": 3, "5 voters": 5, "7 voters": 7} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				list := scenarios(actionWeights).Draw(t, "acts")
				if err := simulate(voters, seed, list, breakage{}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestPropertyDetectsFaults checks that the checks of TestPropertySafety fail for
// each deliberate fault.
func TestPropertyDetectsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		breakage breakage
		// from is the first seed; one of the next 400 scenarios must show the
		// fault.
		from int
	}{
		"acknowledge before sync":      {breakage: breakage{ackUnsynced: true}},
		"lost disk keeps its identity": {breakage: breakage{keepIdentity: true}, from: 135},
		"votes granted during a lease": {breakage: breakage{core: faults{noVoteWithhold: true}}, from: 115},
		"reads without a lease":        {breakage: breakage{core: faults{noLease: true}}, from: 330},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err, seed := error(nil), c.from
			for ; seed < c.from+400 && err == nil; seed++ {
				err = simulate(3, uint64(seed), scenarios(actionWeights).Example(seed), c.breakage)
				if errors.HasType(err, noConvergence{}) {
					err = nil
				}
			}
			is.True(err != nil) // the checks must detect the fault
			t.Logf("seed %d: %v", seed-1, err)
		})
	}
}
