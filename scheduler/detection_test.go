package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// TestObserverDetectsDefects injects a defect for each invariant and checks that
// the observer reports its violation. Each case runs in a cell that reveals its
// defect. Without the defect the cells pass: TestMatrix runs those whose fault is in
// the matrix.
func TestObserverDetectsDefects(t *testing.T) {
	for name, c := range map[string]struct {
		defect defect
		point  string
		kind   requestKind
		step   pathStep
		fault  fault
		// runMillis is the run time of the watched request in milliseconds; "" means
		// the default.
		runMillis string
	}{
		"1 capacity: reports claim twice the capacity": {
			defect: defect{doublesCapacity: true}, point: "point 1:", kind: repeatable, step: waiting, fault: faultNamed(callerFaults, "resend"),
		},
		"2 single run: upstreams accept late orders": {
			defect: defect{acceptsLateOrders: true}, point: "point 2:", kind: repeatable, step: startSent, fault: faultNamed(networkFaults, "order late"),
		},
		"2 single run: a missing answer counts as not sent": {
			defect: defect{claimsNotSent: true}, point: "point 2:", kind: repeatable, step: startSent, fault: faultNamed(networkFaults, "connection reset after the order"),
		},
		"3 team: requests arrive under another team": {
			defect: defect{wrongTeam: true}, point: "point 3:", kind: repeatable, step: received, fault: faultNamed(callerFaults, "resend"),
		},
		"4 limit: each zone may use the whole limit": {
			defect: defect{overAllocates: true}, point: "point 4:", kind: notRepeatable, step: received, fault: busyZones,
		},
		"5 own answer: answers are swapped": {
			defect: defect{swapsAnswers: true}, point: "point 5:", kind: notRepeatable, step: received, fault: faultNamed(callerFaults, "resend"),
		},
		"6 not run: a missing answer counts as not sent": {
			defect: defect{claimsNotSent: true}, point: "point 6:", kind: notRepeatable, step: startSent, fault: resetAndCancelled,
		},
		"7 at most once: the log grants every intent": {
			defect: defect{grantsEveryIntent: true}, point: "point 7:", kind: notRepeatable, step: started, fault: faultNamed(upstreamFaults, "scheduler killed and upstreams restart"),
		},
		"7 at most once: a missing answer counts as not sent": {
			defect: defect{claimsNotSent: true}, point: "point 7:", kind: notRepeatable, step: startSent, fault: faultNamed(networkFaults, "connection reset after the order"),
		},
		"8 departure: reports hide it": {
			defect: defect{hidesDeparture: true}, point: "point 8:", kind: notRepeatable, step: received, fault: bothUpstreamsDepart,
		},
		"9 shutdown: entry instances don't resend requests that were handed back": {
			defect: defect{keepsHandedBack: true}, point: "point 9:", kind: notRepeatable, step: waiting, fault: faultNamed(schedulerFaults, "scheduler shuts down"),
		},
		"10 no revert: an instance restores an old snapshot": {
			point: "point 10:", kind: notRepeatable, step: received, fault: oldSnapshotRestored,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c.fault.heal = func(sim *simulation) { sim.healAll() }
			result := cell{kind: c.kind, step: c.step, fault: c.fault, defect: c.defect, runMillis: c.runMillis}.run(t)
			is.True(result.reached)
			found := strings.Join(result.violations, "\n")
			t.Log(strings.Join(result.violations[:min(3, len(result.violations))], "\n"))
			is.True(strings.Contains(found, c.point)) // the observer reports the violation
		})
	}
}

// faultNamed returns the fault with a name. It panics if there is none.
func faultNamed(faults []fault, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// busyZones fills both zones with requests of one team that has a limit.
var busyZones = fault{name: "both zones busy", inject: func(sim *simulation) {
	for i := range 12 {
		zone := unit.AvailabilityZone("ab"[i%2 : i%2+1])
		r := sim.limitedRequest(i)
		sim.runAfter(0, func() { sim.callUntilAnswered([]unit.Instance{"b1", "b2"}, zone, r, 5*time.Second) })
	}
}}

// bothUpstreamsDepart makes both upstreams of zone a depart.
var bothUpstreamsDepart = fault{name: "both depart", inject: func(sim *simulation) {
	sim.upstreams["ua1"].depart()
	sim.upstreams["ua2"].depart()
}}

// oldSnapshotRestored restores an old snapshot of the log's state on one instance.
var oldSnapshotRestored = fault{name: "old snapshot", inject: func(sim *simulation) {
	n := sim.node("a1")
	old := n.state.Snapshot()
	sim.log.commitExternal(registrar.PutConfig{ID: "second", Base: 1, Text: []byte(loweredConfig)})
	sim.runAfter(time.Second, func() {
		if err := n.state.Restore(old); err != nil {
			panic(err)
		}
	})
}}

// resetAndCancelled breaks the connection of a start whose request is cancelled
// at the same time.
var resetAndCancelled = fault{name: "connection reset and cancelled", inject: func(sim *simulation) {
	faultNamed(networkFaults, "connection reset after the order").inject(sim)
	sim.cancelWatched(0)
}}
