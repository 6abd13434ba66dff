package queuer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// decide checks each decision against what the model knows.
func (m *model) decide() error {
	gangs := map[unit.Workload]int{}
	for _, d := range m.q.Decide(m.now, 1+m.choose.pick(20)) {
		m.made = append(m.made, d)
		if err := m.check(d, gangs); err != nil {
			return err
		}
	}
	for work, starts := range gangs {
		if err := m.checkGang(work, starts); err != nil {
			return err
		}
	}
	if m.q.Waiting() != len(m.waiting) {
		return errors.Newf("%d tasks wait, the queuer knows %d", len(m.waiting), m.q.Waiting())
	}
	return m.checkStops()
}

func (m *model) check(d Decision, gangs map[unit.Workload]int) error {
	switch d := d.(type) {
	case Start:
		t, known := m.waiting[d.Task]
		if !known {
			return errors.Newf("%s was started and wasn't waiting", d.Task)
		}
		delete(m.waiting, d.Task)
		m.running[d.Task] = placement{Task: t, on: d.Upstream}
		if g, is := t.Kind.(placer.Gang); is {
			gangs[g.ID]++
		}
		return m.checkStart(t, d.Upstream)
	case Preempt:
		r, known := m.running[d.Task]
		if !known || r.stopping {
			return errors.Newf("%s was stopped and didn't run", d.Task)
		}
		r.stopping = true
		m.running[d.Task] = r
	case Reject:
		if _, known := m.waiting[d.Task]; !known {
			return errors.Newf("%s was rejected and wasn't waiting", d.Task)
		}
		delete(m.waiting, d.Task)
	}
	return nil
}

func (m *model) checkStart(t placer.Task, on unit.Upstream) error {
	w, known := m.workers[on]
	if !known || m.gone[on] || w.Unschedulable {
		return errors.Newf("%s was started on %s, which takes no work", t.ID, on)
	}
	var given, spent unit.Resources
	for _, r := range m.running {
		if r.on == on {
			given = given.Add(r.Need)
		}
		if r.Team == t.Team {
			spent = spent.Add(r.Need)
		}
	}
	if !given.Fits(w.Capacity) {
		return errors.Newf("%s was given %v and holds %v", on, given, w.Capacity)
	}
	allotted, need := m.allot[t.Team].Vector(), t.Need.Vector()
	for d, s := range spent.Vector() {
		if need[d] > 0 && s > allotted[d] {
			return errors.Newf("team %s runs %v and is allotted %v", t.Team, spent, m.allot[t.Team])
		}
	}
	for _, work := range t.DependsOn {
		if !m.settled[work] {
			return errors.Newf("%s was started before %s", t.ID, work)
		}
	}
	return nil
}

// checkGang requires that the whole gang runs once a part of it was started.
func (m *model) checkGang(work unit.Workload, starts int) error {
	for _, t := range m.waiting {
		if g, is := t.Kind.(placer.Gang); is && g.ID == work {
			return errors.Newf("%d tasks of gang %s were started and %s wasn't", starts, work, t.ID)
		}
	}
	return nil
}

// checkStops requires that nothing but what was told to stop passes what an
// upstream holds or a team is allotted.
func (m *model) checkStops() error {
	given := map[unit.Upstream]unit.Resources{}
	spent := map[unit.Team]unit.Resources{}
	for _, r := range m.running {
		if !r.stopping && !m.gone[r.on] && !m.unclaimed[r.on] {
			given[r.on] = given[r.on].Add(r.Need)
			spent[r.Team] = spent[r.Team].Add(r.Need)
		}
	}
	for id, g := range given {
		if !g.Fits(m.workers[id].Capacity) && len(m.q.out) < m.q.most {
			return errors.Newf("%s holds %v, and %v weren't told to stop", id, m.workers[id].Capacity, g)
		}
	}
	for team, s := range spent {
		if !s.Fits(m.allot[team]) {
			return errors.Newf("team %s is allotted %v, and %v weren't told to stop", team, m.allot[team], s)
		}
	}
	return nil
}

var scripts = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 100, 600)

// TestDecisions plays any order of announcing, shrinking, losing and adopting
// upstreams, adding, ending, cancelling and measuring tasks, changed
// allotments and takeovers.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := checkScript(scripts.Draw(t, "script"), nil); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDeterminism plays scripts twice and wants the same decisions.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	for seed := range 300 {
		first, err := checkScript(scripts.Example(seed), nil)
		is.NoErr(err)
		second, err := checkScript(scripts.Example(seed), nil)
		is.NoErr(err)
		is.Equal(first, second)
	}
}

// TestDecisionsNotice shows that TestDecisions fails on broken variants.
func TestDecisionsNotice(t *testing.T) {
	cases := map[string]func(*Queuer){
		"capacity":     func(q *Queuer) { q.cell.DisableChecks() },
		"limit":        func(q *Queuer) { q.zone.DisableChecks() },
		"gangs":        func(q *Queuer) { q.partialGangs = true },
		"dependencies": func(q *Queuer) { q.ignoreDependencies = true },
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			noticed := 0
			for seed := range 100 {
				if _, err := checkScript(scripts.Example(seed), broken); err != nil {
					noticed++
				}
			}
			t.Logf("noticed in %d of 100 scripts", noticed)
			is.True(noticed > 0) // the broken variant is noticed
		})
	}
}
