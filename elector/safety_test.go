package elector

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// variant is a deliberately broken elector; the zero value is the correct one.
type variant struct {
	forgetsPromisesOnRestart bool
	leaderIgnoresPriorLeases bool
	countsLeaseFromReceipt   bool
}

const (
	testZone  unit.AvailabilityZone = "a"
	testLease clock.Millis          = 100
)

// node is an instance that may lead the log. Its clock runs at its own speed,
// within DriftAllowance.
type node struct {
	name    unit.Instance
	machine *Machine
	granter *Granter
	// rate is the speed of the clock in fiftieths of the real speed.
	rate        clock.Millis
	pausedUntil clock.Millis
	// partitionedUntil is when messages pass again between the node and the
	// log's leader.
	partitionedUntil clock.Millis
	// observed is the index in world.log that the machine has observed last.
	observed int
}

// world simulates the three instances of a zone, two more instances that may
// lead the log, and the log, in virtual time. Messages are closures that may be
// lost, duplicated and delayed.
type world struct {
	variant     variant
	choose      func(n int) int
	now         clock.Millis
	nodes       []*node
	zoneNodes   []*node
	messages    []message
	leader      int
	leaderSince clock.Millis
	log         []registrar.Zone
	// appended holds commands that are committed later unless the leader
	// changes.
	appended []func()
}

type message struct {
	to      *node
	due     clock.Millis
	deliver func()
}

func newWorld(v variant, choose func(int) int) *world {
	w := &world{variant: v, choose: choose, now: 10_000, log: []registrar.Zone{{}}, leaderSince: 1}
	for i, name := range []unit.Instance{"i0", "i1", "i2", "o0", "o1"} {
		n := &node{name: name, rate: clock.Millis(48 + i)}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	w.zoneNodes = w.nodes[:3]
	return w
}

// localTime returns the time of a node's clock, whose speed is up to 4% off.
func (w *world) localTime(n *node) clock.Millis { return w.now * n.rate / 50 }

func (w *world) restart(n *node) {
	var peers []unit.Instance
	for _, name := range []unit.Instance{"i0", "i1", "i2"} {
		if name != n.name {
			peers = append(peers, name)
		}
	}
	n.machine = NewMachine(n.name, testZone, peers, testLease, w.localTime(n))
	n.granter = NewGranter(n.name, testLease)
	n.observed = 0
	if w.variant.forgetsPromisesOnRestart {
		n.machine.startedAt = -1_000_000
	}
}

// send delivers a message to a node zero, one or two times, each after a delay.
func (w *world) send(to *node, do func()) {
	copies := 1
	switch w.choose(20) {
	case 0, 1:
		copies = 0
	case 2, 3:
		copies = 2
	}
	for range copies {
		wait := clock.Millis(w.choose(8))
		if w.choose(10) == 0 {
			wait = clock.Millis(w.choose(3 * int(testLease)))
		}
		w.messages = append(w.messages, message{to: to, due: w.now + wait, deliver: do})
	}
}

func (w *world) leadership(n *node) Leadership {
	return Leadership{Since: w.leaderSince * n.rate / 50, Valid: w.nodes[w.leader] == n}
}

// roundTrip sends a request to a node and passes the reply back to the machine
// that sent it, unless that node has restarted in the meantime.
func roundTrip[R any](w *world, from, to *node, serve func() R, back func(m *Machine, sentAt clock.Millis, r R)) {
	sentAt, m := w.localTime(from), from.machine
	w.send(to, func() {
		reply := serve()
		w.send(from, func() {
			if w.variant.countsLeaseFromReceipt {
				sentAt = w.localTime(from)
			}
			if from.machine == m {
				back(m, sentAt, reply)
			}
		})
	})
}

func (w *world) execute(n *node, a Action) {
	lead := w.nodes[w.leader]
	if _, toPeer := a.(SendPromise); !toPeer && n.partitionedUntil > w.now {
		return
	}
	switch a := a.(type) {
	case SendRenew:
		roundTrip(w, n, lead, func() RenewReply {
			return lead.granter.HandleRenew(w.localTime(lead), w.leadership(lead), w.latestZone(), a.Renew)
		}, func(m *Machine, sentAt clock.Millis, r RenewReply) { m.HandleRenewReply(sentAt, a.Renew, r) })
	case SendPromise:
		to := w.nodeNamed(a.To)
		roundTrip(w, n, to, func() PromiseReply { return to.machine.HandlePromise(w.localTime(to), a.Promise) },
			func(m *Machine, sentAt clock.Millis, r PromiseReply) {
				m.HandlePromiseReply(sentAt, a.To, a.Promise, r)
			})
	case SendAsk:
		roundTrip(w, n, lead, func() AskReply {
			w.skipWaitForPriorLeases(lead)
			return lead.granter.HandleAsk(w.localTime(lead), w.leadership(lead), w.latestZone(), a.Ask)
		}, func(m *Machine, _ clock.Millis, r AskReply) {
			for _, next := range m.HandleAskReply(w.localTime(n), a.Ask, r) {
				w.execute(n, next)
			}
		})
	case SendTake:
		w.sendTake(n, w.nodeNamed(a.Take.Ticket.Leader), a.Take)
	case Settle:
		m := n.machine
		w.append(func() {
			z := w.latestZone()
			w.send(n, func() {
				m.Observe(z)
				m.HandleSettleResult(a, true)
			})
		})
	}
}

// skipWaitForPriorLeases ends the wait for leases of earlier leaders, in the
// broken variant.
func (w *world) skipWaitForPriorLeases(lead *node) {
	if w.variant.leaderIgnoresPriorLeases && lead.granter.leaderSince != w.leadership(lead).Since {
		lead.granter.observeLeadership(w.leadership(lead))
		lead.granter.grantFor(testZone).leaseEnd = 0
	}
}

func (w *world) sendTake(n, lead *node, t Take) {
	sentAt, m := w.localTime(n), n.machine
	w.send(lead, func() {
		l := w.leadership(lead)
		if !lead.granter.BeginTake(w.localTime(lead), l, w.latestZone(), t) {
			return
		}
		w.append(func() {
			taken := w.latestZone().Epoch == t.Prior
			if taken {
				w.log = append(w.log, registrar.Zone{Epoch: t.Prior + 1, Holder: t.Instance})
			}
			lead.granter.EndTake(l, t, true)
			w.send(n, func() {
				if n.machine == m {
					m.HandleTakeReply(sentAt, t, TakeReply{Taken: taken, Epoch: t.Prior + 1})
				}
			})
		})
	})
}

// append adds a command to the leader's log. It is committed some steps later, or
// lost when the leader changes.
func (w *world) append(commit func()) { w.appended = append(w.appended, commit) }

func (w *world) latestZone() registrar.Zone { return w.log[len(w.log)-1] }

func (w *world) nodeNamed(name unit.Instance) *node {
	for _, n := range w.nodes {
		if n.name == name {
			return n
		}
	}
	panic("no such instance")
}

func (w *world) commit(all bool) {
	for len(w.appended) > 0 && (all || w.choose(3) > 0) {
		w.appended[0]()
		w.appended = w.appended[1:]
	}
}

// changeLeader changes the log's leader. The appended commands are committed or
// lost.
func (w *world) changeLeader() {
	if w.choose(2) == 0 {
		w.commit(true)
	}
	w.appended = nil
	w.leader = w.choose(len(w.nodes))
	w.leaderSince = w.now
}

// step advances the time and returns an error if two instances hold the lease.
func (w *world) step() error {
	w.now += clock.Millis(1 + w.choose(6))
	switch w.choose(60) {
	case 0:
		w.changeLeader()
	case 1:
		n := w.nodes[w.choose(len(w.nodes))]
		w.restart(n)
		if n == w.nodes[w.leader] {
			w.changeLeader()
		}
	case 4, 5, 6, 7:
		w.zoneNodes[w.choose(len(w.zoneNodes))].partitionedUntil = w.now + clock.Millis(w.choose(20*int(testLease)))
	case 2, 3:
		n := w.nodes[w.choose(len(w.nodes))]
		n.pausedUntil = w.now + clock.Millis(w.choose(4*int(testLease)))
	}
	w.commit(false)
	w.deliver()
	for _, n := range w.zoneNodes {
		w.runNode(n)
	}
	return w.check()
}

func (w *world) deliver() {
	due := w.messages
	w.messages = nil
	for _, m := range due {
		if m.due <= w.now && m.to.pausedUntil <= w.now {
			m.deliver()
		} else {
			w.messages = append(w.messages, m)
		}
	}
}

func (w *world) runNode(n *node) {
	if n.pausedUntil > w.now {
		return
	}
	if n.observed < len(w.log)-1 && w.choose(4) == 0 {
		n.observed++
		n.machine.Observe(w.log[n.observed])
	}
	for _, a := range n.machine.Poll(w.localTime(n)) {
		w.execute(n, a)
	}
}

func (w *world) check() error {
	holder := ""
	for _, n := range w.zoneNodes {
		if _, ok := n.machine.HoldsLease(w.localTime(n)); !ok {
			continue
		}
		if holder != "" {
			return fmt.Errorf("at %v both %s and %s hold the lease", w.now, holder, n.name)
		}
		holder = string(n.name)
	}
	return nil
}

func simulate(v variant, steps int, choose func(int) int) (held int, err error) {
	w := newWorld(v, choose)
	for range steps {
		if err := w.step(); err != nil {
			return held, err
		}
		for _, n := range w.zoneNodes {
			if _, ok := n.machine.HoldsLease(w.localTime(n)); ok {
				held++
			}
		}
	}
	return held, nil
}

// TestNeverTwoHolders checks that random faults never make two instances hold the
// zone's lease at the same time.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64().Draw(t, "seed")
		r := rand.New(rand.NewSource(seed))
		if _, err := simulate(variant{}, 1500, r.Intn); err != nil {
			t.Fatal(err)
		}
	})
}

// TestZoneIsHeldUnderFaults checks that an instance holds the lease in some steps
// of the simulation, so that TestNeverTwoHolders isn't vacuous.
func TestZoneIsHeldUnderFaults(t *testing.T) {
	is := is.New(t)
	held := 0
	for seed := range int64(20) {
		h, err := simulate(variant{}, 2000, rand.New(rand.NewSource(seed)).Intn)
		is.NoErr(err)
		held += h
	}
	t.Logf("held in %d of %d steps under random faults", held, 20*2000)
	is.True(held > 0)
}

// TestBrokenVariantsFail checks that the simulation detects each broken variant.
func TestBrokenVariantsFail(t *testing.T) {
	for name, c := range map[string]struct {
		broken variant
		// seed is the first one to try.
		seed int64
	}{
		"forgets promises on restart":     {broken: variant{forgetsPromisesOnRestart: true}, seed: 1190},
		"new leader ignores prior leases": {broken: variant{leaderIgnoresPriorLeases: true}, seed: 840},
		"counts lease from receipt":       {broken: variant{countsLeaseFromReceipt: true}, seed: 150},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := c.seed; seed < c.seed+2000; seed++ {
				if _, err := simulate(c.broken, 1500, rand.New(rand.NewSource(seed)).Intn); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no seed produced two holders")
		})
	}
}
