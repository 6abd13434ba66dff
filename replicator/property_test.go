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

// ciChecks is how many scenarios of each size are played by default.
const ciChecks = "25"

// TestMain fixes the seed and the number of checks, so that CI gives the same
// verdict each time. A long run with fresh seeds:
//
//	go test ./replicator -run Safety -timeout 0 -rapid.checks=5000 -args -fresh
func TestMain(m *testing.M) {
	fresh := flag.Bool("fresh", false, "use a fresh seed for the property tests")
	_ = flag.Set("rapid.checks", ciChecks)
	flag.Parse()
	if !*fresh {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// act is one event of a scenario.
type act struct {
	Kind  int
	Node  int
	Other int
	Arg   int
}

// Kinds of acts; the first ones are drawn more often.
const (
	actRun = iota
	actPropose
	actRead
	actCrash
	actCrashInFlush
	actRestart
	actPause
	actCut
	actIsolate
	actHeal
	actLoseDisk
	actTransfer
	actLossy
	actAdd
	actKinds
)

// weights say how often an act is drawn.
var weights = [actKinds]int{
	actRun: 12, actPropose: 14, actRead: 5, actCrash: 1, actCrashInFlush: 3, actRestart: 4, actPause: 2,
	actCut: 2, actIsolate: 2, actHeal: 3, actLoseDisk: 1, actTransfer: 1, actLossy: 1, actAdd: 1,
}

func acts() *rapid.Generator[[]act] {
	var kinds []int
	for k, w := range weights {
		for range w {
			kinds = append(kinds, k)
		}
	}
	one := rapid.Custom(func(t *rapid.T) act {
		return act{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, 11).Draw(t, "node"),
			Other: rapid.IntRange(0, 11).Draw(t, "other"),
			Arg:   rapid.IntRange(0, 99).Draw(t, "arg"),
		}
	})
	return rapid.SliceOfN(one, 20, 150)
}

// simulate plays a scenario and returns what went wrong, if anything.
func simulate(voters int, seed uint64, list []act, b breakage) (err error) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case violation:
			err = p
		case stuck:
			err = p
		case string:
			// An assertion of the core.
			err = errors.Newf("%s", p)
		default:
			panic(p)
		}
	}()
	s := newSim(voters, seed, b)
	s.run(3 * simElection)
	for _, a := range list {
		s.play(a)
	}
	s.converge()
	return nil
}

func (s *sim) play(a act) {
	n := s.nodes[a.Node%len(s.nodes)]
	switch a.Kind {
	case actRun:
		s.run(clock.Millis(1 + a.Arg*a.Arg/3))
	case actPropose:
		s.propose(n, a.Arg)
	case actRead:
		s.read(n)
	case actCrash:
		n.crash()
	case actCrashInFlush:
		n.crashIn = 1 + a.Arg%12
	case actRestart:
		n.start()
	case actPause:
		n.pausedUntil = s.now + clock.Millis(a.Arg*40)
	case actCut:
		o := s.nodes[a.Other%len(s.nodes)]
		s.cut[[2]unit.Instance{n.id, o.id}] = true
		if a.Arg%3 > 0 {
			s.cut[[2]unit.Instance{o.id, n.id}] = true
		}
	case actIsolate:
		s.isolate(n)
	case actHeal:
		s.cut = map[[2]unit.Instance]bool{}
	case actLoseDisk:
		s.loseDisk(n)
	case actTransfer:
		s.transfer()
	case actLossy:
		s.lossy = !s.lossy
	case actAdd:
		if len(s.nodes) < len(s.first)+2 {
			s.add(unit.Instance(fmt.Sprintf("x%d", len(s.nodes))))
		}
	}
}

// propose sends a compare-and-set to a node that leads, or that believes so.
func (s *sim) propose(near *simNode, arg int) {
	for i := range s.nodes {
		n := s.nodes[(i+arg)%len(s.nodes)]
		if n.core == nil || n.core.role != roleLeader || n.pausedUntil > s.now {
			continue
		}
		op := &simOp{id: uint64(len(s.ops) + 1), after: s.acked}
		command := encoder.Marshal(simCommand{ID: op.id, Expect: near.machine.Version})
		first, term, ok := n.core.Propose(n.local(), command)
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
	op := &simOp{after: s.acked}
	op.read = n.core.Read(n.local())
	n.reads = append(n.reads, op)
	if n.pausedUntil <= s.now {
		n.flush()
	}
}

func (s *sim) isolate(n *simNode) {
	for _, o := range s.nodes {
		s.cut[[2]unit.Instance{n.id, o.id}] = true
		s.cut[[2]unit.Instance{o.id, n.id}] = true
	}
}

func (s *sim) loseDisk(n *simNode) {
	if !s.canLose(n) {
		return
	}
	n.crash()
	n.newDisk()
	n.start()
}

func (s *sim) transfer() {
	for _, n := range s.nodes {
		if n.core != nil && n.core.role == roleLeader && n.pausedUntil <= s.now {
			n.core.Transfer(n.local())
			n.flush()
		}
	}
}

func TestPropertySafety(t *testing.T) {
	for name, voters := range map[string]int{"3 voters": 3, "5 voters": 5, "7 voters": 7} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				list := acts().Draw(t, "acts")
				if err := simulate(voters, seed, list, breakage{}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestPropertyNoticesBreakage shows that the checks of TestPropertySafety fail
// for each deliberate mistake.
func TestPropertyNoticesBreakage(t *testing.T) {
	for name, c := range map[string]struct {
		breakage breakage
		// from is the first seed; a scenario that shows the mistake isn't far.
		from int
	}{
		"acknowledge before sync":      {breakage: breakage{ackUnsynced: true}},
		"lost disk keeps its identity": {breakage: breakage{keepIdentity: true}, from: 135},
		"votes given during a lease":   {breakage: breakage{core: faults{noVoteWithhold: true}}, from: 115},
		"reads without a lease":        {breakage: breakage{core: faults{noLease: true}}, from: 330},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err, seed := error(nil), c.from
			for ; seed < c.from+400 && err == nil; seed++ {
				err = simulate(3, uint64(seed), acts().Example(seed), c.breakage)
				if errors.HasType(err, stuck{}) {
					err = nil
				}
			}
			is.True(err != nil) // the checks must notice
			t.Logf("seed %d: %v", seed-1, err)
		})
	}
}
