package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// requestKind is the kind of the watched request: whether it is repeatable, and
// whether it is submitted for acceptance.
type requestKind string

const (
	repeatable            requestKind = "repeatable"
	notRepeatable         requestKind = "once"
	accepted              requestKind = "accepted"
	acceptedNotRepeatable requestKind = "accepted once"
)

func (k requestKind) isAccepted() bool   { return k == accepted || k == acceptedNotRepeatable }
func (k requestKind) isRepeatable() bool { return k == repeatable || k == accepted }

// cell is one case of the matrix: a fault that is injected when the watched request
// of a kind reaches a step.
type cell struct {
	kind      requestKind
	step      pathStep
	fault     fault
	defect    defect
	runMillis string
}

// Durations in a cell, in virtual time.
const (
	callerTimeout   = 12 * time.Second
	acceptedTimeout = 18 * time.Second
	// healAfter is the time from the submission to the repair of the fault.
	healAfter = 6 * time.Second
	// settleTime is the time from the repair to the last checks.
	settleTime = 7 * time.Second
)

// cellResult is the result of a cell.
type cellResult struct {
	// reached is set if the watched request reached the step.
	reached bool
	outcome dispatcher.Outcome
	runs    int
	// gap is the longest time without a start in zone a.
	gap time.Duration
	// probes are the outcomes of requests sent after the repair.
	probes     []dispatcher.Outcome
	violations []string
}

// upstreamCapacity is the capacity of each upstream in a cell.
var upstreamCapacity = unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte, Slots: 4, Connections: 4}

// run starts a simulation and runs the cell in it.
func (c cell) run(t *testing.T) cellResult {
	var result cellResult
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, c.defect)
		defer sim.close()
		for _, u := range []unit.Upstream{"ua1", "ua2"} {
			sim.addUpstream(u, "a", upstreamCapacity)
		}
		sim.addUpstream("ub1", "b", upstreamCapacity)
		sim.awaitHolder("a")
		sim.awaitHolder("b")
		time.Sleep(time.Second)
		result = c.runIn(sim)
	})
	return result
}

// runIn submits the watched request, injects and repairs the fault, and collects the
// result.
func (c cell) runIn(sim *simulation) cellResult {
	var result cellResult
	var g errgroup.Group
	sim.watched = watchedID
	hook := func() {
		result.reached = true
		c.fault.inject(sim)
	}
	sim.mu.Lock()
	sim.hooks[c.step] = hook
	sim.mu.Unlock()
	stop := make(chan struct{})
	g.Go(func() error { return sim.sendTraffic(stop) })
	g.Go(func() error {
		result.outcome = c.submit(sim)
		return nil
	})
	time.Sleep(healAfter)
	c.fault.heal(sim)
	time.Sleep(settleTime)
	result.probes = sim.sendProbes()
	close(stop)
	_ = g.Wait()
	sim.obs.checkLateStarts()
	result.runs = sim.obs.runCount(watchedID)
	result.gap = sim.obs.longestGap
	result.violations = sim.obs.allViolations()
	return result
}

// submit submits the watched request and returns its outcome. If the step is
// waiting, it first uses up the capacity of the zone, so that the request is queued.
func (c cell) submit(sim *simulation) dispatcher.Outcome {
	r := dispatcher.Request{ID: watchedID, Queue: "holds", Team: "booking", Repeatable: c.kind.isRepeatable(), Data: []byte("300")}
	if c.runMillis != "" {
		r.Data = []byte(c.runMillis)
	}
	if c.step == waiting {
		sim.fillZone(700 * time.Millisecond)
		sim.group.Go(func() error {
			time.Sleep(300 * time.Millisecond)
			sim.reachStep(waiting, watchedID)
			return nil
		})
	}
	if c.kind.isAccepted() {
		r.Queue, r.Team = "proofs", "prelo"
		return sim.acceptAndAwait("a", r, acceptedTimeout)
	}
	r.Fresh = true
	return sim.callUntilAnswered([]unit.Instance{"a2", "a1"}, "a", r, callerTimeout)
}

// fillZone uses up the CPU of all upstreams of zone a for a while.
func (sim *simulation) fillZone(runTime time.Duration) {
	for i := range 8 {
		id := unit.Request(fmt.Sprintf("account/fill-%d", i))
		r := dispatcher.Request{ID: id, Queue: "proofs", Team: "prelo", Repeatable: true, Fresh: true, Data: fmt.Appendf(nil, "%d", runTime.Milliseconds())}
		sim.group.Go(func() error {
			sim.callUntilAnswered([]unit.Instance{"a1", "a2"}, "a", r, callerTimeout)
			return nil
		})
	}
	time.Sleep(50 * time.Millisecond)
}

// sendTraffic sends short requests of all kinds to both zones until stop is closed.
func (sim *simulation) sendTraffic(stop <-chan struct{}) error {
	var g errgroup.Group
	for i := 0; ; i++ {
		select {
		case <-stop:
			return g.Wait()
		case <-time.After(350 * time.Millisecond):
		}
		zone := unit.AvailabilityZone([]string{"a", "a", "b"}[i%3])
		entries := []unit.Instance{"a1", "a2"}
		if zone == "b" {
			entries = []unit.Instance{"b1", "b2"}
		}
		r := dispatcher.Request{ID: unit.Request(fmt.Sprintf("account/t%d", i)), Queue: "holds", Team: "booking", Repeatable: i%4 != 0, Fresh: i%2 == 0, Data: []byte("200")}
		if i%5 == 0 {
			r.Queue, r.Team = "proofs", "prelo"
		}
		if i%2 == 0 {
			slices.Reverse(entries)
		}
		g.Go(func() error {
			sim.callUntilAnswered(entries, zone, r, 3*time.Second)
			return nil
		})
	}
}

// limitedRequest returns the i-th of many requests of a team that has a limit.
func (sim *simulation) limitedRequest(i int) dispatcher.Request {
	id := unit.Request(fmt.Sprintf("account/busy%d", i))
	return dispatcher.Request{ID: id, Queue: "holds", Team: "booking", Repeatable: true, Fresh: true, Data: []byte("900")}
}

// sendProbes sends a repeatable and a non-repeatable request to each zone and
// returns their outcomes.
func (sim *simulation) sendProbes() []dispatcher.Outcome {
	out := make([]dispatcher.Outcome, 4)
	var g errgroup.Group
	for i := range out {
		zone := unit.AvailabilityZone([]string{"a", "b"}[i%2])
		entries := []unit.Instance{"a1", "a2"}
		if zone == "b" {
			entries = []unit.Instance{"b1", "b2"}
		}
		r := dispatcher.Request{ID: unit.Request(fmt.Sprintf("account/probe%d", i)), Queue: "proofs", Team: "prelo", Repeatable: i < 2, Fresh: true, Data: []byte("20")}
		g.Go(func() error {
			out[i] = sim.callUntilAnswered(entries, zone, r, 5*time.Second)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

// problems returns a message for each failed check of a result.
func (c cell) problems(result cellResult) []string {
	bad := result.violations
	for i, p := range result.probes {
		if _, done := p.(dispatcher.Done); !done {
			bad = append(bad, fmt.Sprintf("probe %d after the repair got %T %+v", i, p, p))
		}
	}
	if c.kind.isAccepted() && result.outcome == nil {
		bad = append(bad, "the accepted request has no outcome")
	}
	if u, unknown := result.outcome.(dispatcher.Unknown); unknown && c.kind == accepted && u.Reason != dispatcher.ReasonCancelled {
		bad = append(bad, fmt.Sprintf("the accepted repeatable request ended as Unknown: %+v", result.outcome))
	}
	return bad
}

// add adds the result of a cell.
func (s *faultSummary) add(result cellResult) {
	s.cells++
	s.gap = max(s.gap, result.gap)
	switch result.outcome.(type) {
	case dispatcher.Done:
		s.done++
	case dispatcher.NotRun:
		s.notRun++
	default:
		s.unknown++
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// name returns the name of the cell's subtest.
func (c cell) name() string {
	return strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", c.kind, c.step, c.fault.name), " ", "_")
}
