package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Each of the observers notices a part that is deliberately broken. The cells
// are the ones that the flaw shows in; without it they pass, see TestMatrix.
func TestObserversNoticeFlaws(t *testing.T) {
	for name, c := range map[string]struct {
		flaw  flaw
		point string
		kind  workKind
		step  pathStep
		fault fault
		// span is the run time in milliseconds; "" means the default.
		span string
	}{
		"1 capacity: reports claim twice what there is": {
			flaw: flaw{boasts: true}, point: "point 1:", kind: repeatable, step: waiting, fault: named(onCallers, "resend"),
		},
		"2 one place: upstreams take late orders": {
			flaw: flaw{lateOrders: true}, point: "point 2:", kind: repeatable, step: startSent, fault: named(onNetwork, "order late"),
		},
		"2 one place: a missing answer counts as not sent": {
			flaw: flaw{lies: true}, point: "point 2:", kind: repeatable, step: startSent, fault: named(onNetwork, "connection reset after the order"),
		},
		"3 team: requests arrive under another team": {
			flaw: flaw{wrongTeam: true}, point: "point 3:", kind: repeatable, step: received, fault: named(onCallers, "resend"),
		},
		"4 limit: each zone may spend the whole limit": {
			flaw: flaw{overAllots: true}, point: "point 4:", kind: once, step: received, fault: busyZones,
		},
		"5 own answer: answers are confused": {
			flaw: flaw{confuses: true}, point: "point 5:", kind: once, step: received, fault: named(onCallers, "resend"),
		},
		"6 not run: a missing answer counts as not sent": {
			flaw: flaw{lies: true}, point: "point 6:", kind: once, step: startSent, fault: resetAndCancelled,
		},
		"7 at most once: the log grants every intent": {
			flaw: flaw{grants: true}, point: "point 7:", kind: once, step: started, fault: named(onUpstreams, "scheduler killed and upstreams restart"),
		},
		"7 at most once: a missing answer counts as not sent": {
			flaw: flaw{lies: true}, point: "point 7:", kind: once, step: startSent, fault: named(onNetwork, "connection reset after the order"),
		},
		"8 departure: reports don't tell it": {
			flaw: flaw{hidesDeparture: true}, point: "point 8:", kind: once, step: received, fault: bothDepart,
		},
		"9 shutdown: what the scheduler gives back isn't sent again": {
			flaw: flaw{cutsOff: true}, point: "point 9:", kind: once, step: waiting, fault: named(onSchedulers, "scheduler shuts down"),
		},
		"10 no revert: a copy goes back to an old snapshot": {
			point: "point 10:", kind: once, step: received, fault: oldSnapshot,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c.fault.heal = func(w *world) { w.reviveAll() }
			v := cell{kind: c.kind, step: c.step, fault: c.fault, flaw: c.flaw, span: c.span}.run(t)
			is.True(v.reached)
			found := strings.Join(v.violations, "\n")
			t.Log(strings.Join(v.violations[:min(3, len(v.violations))], "\n"))
			is.True(strings.Contains(found, c.point)) // the observer notices
		})
	}
}

func named(faults []fault, name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// busyZones fills both zones with the work of one limited team.
var busyZones = fault{name: "both zones busy", strike: func(w *world) {
	for i := range 12 {
		zone := unit.AvailabilityZone("ab"[i%2 : i%2+1])
		r := w.request(i)
		w.later(0, func() { w.call([]unit.Instance{"b1", "b2"}, zone, r, 5*time.Second) })
	}
}}

// bothDepart lets all upstreams of the zone depart.
var bothDepart = fault{name: "both depart", strike: func(w *world) {
	w.ups["ua1"].depart()
	w.ups["ua2"].depart()
}}

// oldSnapshot lets the copy of one instance go back.
var oldSnapshot = fault{name: "old snapshot", strike: func(w *world) {
	n := w.node("a1")
	old := n.state.Snapshot()
	w.log.put(registrar.PutConfig{ID: "second", Base: 1, Text: []byte(lowerText)})
	w.later(time.Second, func() {
		if err := n.state.Restore(old); err != nil {
			panic(err)
		}
	})
}}

// resetAndCancelled breaks the connection of a start whose request is cancelled
// at the same time.
var resetAndCancelled = fault{name: "connection reset and cancelled", strike: func(w *world) {
	named(onNetwork, "connection reset after the order").strike(w)
	w.cancelWatched(0)
}}
