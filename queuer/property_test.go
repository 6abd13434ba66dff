package queuer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// decide checks each decision against the model.
func (m *model) decide() error {
	gangs := map[unit.Workload]int{}
	for _, d := range m.q.Decide(m.now, 1+m.choices.pick(20)) {
		m.decisions = append(m.decisions, d)
		if err := m.check(d, gangs); err != nil {
			return err
		}
	}
	for workload, starts := range gangs {
		if err := m.checkGang(workload, starts); err != nil {
			return err
		}
	}
	if m.q.Waiting() != len(m.waiting) {
		return errors.Newf("%d tasks wait by the model, %d by the queuer", len(m.waiting), m.q.Waiting())
	}
	return m.checkStops()
}

func (m *model) check(d Decision, gangs map[unit.Workload]int) error {
	switch d := d.(type) {
	case Start:
		t, known := m.waiting[d.Task]
		if !known {
			return errors.Newf("task %s was started but wasn't waiting", d.Task)
		}
		delete(m.waiting, d.Task)
		m.running[d.Task] = runningTask{Task: t, upstream: d.Upstream}
		if g, ok := t.Kind.(placer.Gang); ok {
			gangs[g.ID]++
		}
		return m.checkStart(t, d.Upstream)
	case Preempt:
		r, known := m.running[d.Task]
		if !known || r.stopping {
			return errors.Newf("task %s was told to stop but wasn't running or was stopping already", d.Task)
		}
		r.stopping = true
		m.running[d.Task] = r
	case Reject:
		if _, known := m.waiting[d.Task]; !known {
			return errors.Newf("task %s was rejected but wasn't waiting", d.Task)
		}
		delete(m.waiting, d.Task)
	}
	return nil
}

func (m *model) checkStart(t placer.Task, upstream unit.Upstream) error {
	u, known := m.upstreams[upstream]
	if !known || m.gone[upstream] || u.Unschedulable {
		return errors.Newf("task %s was started on %s, which is unknown, removed or unschedulable", t.ID, upstream)
	}
	var used, charged unit.Resources
	for _, r := range m.running {
		if r.upstream == upstream {
			used = used.Add(r.Need)
		}
		if r.Team == t.Team {
			charged = charged.Add(r.Need)
		}
	}
	if !used.Fits(u.Capacity) {
		return errors.Newf("upstream %s runs tasks that need %v and has the capacity %v", upstream, used, u.Capacity)
	}
	allotted, need := m.allotments[t.Team].Vector(), t.Need.Vector()
	for d, s := range charged.Vector() {
		if need[d] > 0 && s > allotted[d] {
			return errors.Newf("team %s runs tasks that need %v and has the allotment %v", t.Team, charged, m.allotments[t.Team])
		}
	}
	for _, workload := range t.DependsOn {
		if !m.resolved[workload] {
			return errors.Newf("task %s was started before its dependency %s", t.ID, workload)
		}
	}
	return nil
}

// checkGang requires that no task of a gang waits once one of its tasks was
// started.
func (m *model) checkGang(workload unit.Workload, starts int) error {
	for _, t := range m.waiting {
		if g, ok := t.Kind.(placer.Gang); ok && g.ID == workload {
			return errors.Newf("%d tasks of gang %s were started, but %s wasn't", starts, workload, t.ID)
		}
	}
	return nil
}

// checkStops requires that the tasks that haven't been told to stop exceed
// neither an upstream's capacity nor a team's allotment.
func (m *model) checkStops() error {
	used := map[unit.Upstream]unit.Resources{}
	charged := map[unit.Team]unit.Resources{}
	for _, r := range m.running {
		if !r.stopping && !m.gone[r.upstream] && !m.unreported[r.upstream] {
			used[r.upstream] = used[r.upstream].Add(r.Need)
			charged[r.Team] = charged[r.Team].Add(r.Need)
		}
	}
	for id, g := range used {
		if !g.Fits(m.upstreams[id].Capacity) && len(m.q.decisions) < m.q.maxDecisions {
			return errors.Newf("upstream %s has the capacity %v, but tasks that need %v weren't told to stop", id, m.upstreams[id].Capacity, g)
		}
	}
	for team, s := range charged {
		if !s.Fits(m.allotments[team]) {
			return errors.Newf("team %s has the allotment %v, but tasks that need %v weren't told to stop", team, m.allotments[team], s)
		}
	}
	return nil
}

var scripts = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 100, 600)

// TestDecisions checks the decisions in random sequences of events: upstreams
// are added, changed and removed; tasks are added, ended, cancelled and measured;
// allotments change; dependencies are resolved; a new queuer takes over.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := checkScript(scripts.Draw(t, "script"), nil); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDecisionsAreDeterministic runs scripts twice and requires the same
// decisions.
func TestDecisionsAreDeterministic(t *testing.T) {
	is := is.New(t)
	for seed := range 300 {
		first, err := checkScript(scripts.Example(seed), nil)
		is.NoErr(err)
		second, err := checkScript(scripts.Example(seed), nil)
		is.NoErr(err)
		is.Equal(first, second)
	}
}

// TestDecisionsDetectsBrokenVariants checks that TestDecisions fails for broken
// variants of the queuer.
func TestDecisionsDetectsBrokenVariants(t *testing.T) {
	cases := map[string]func(*Queuer){
		"capacity":     func(q *Queuer) { q.cell.DisableChecks() },
		"limit":        func(q *Queuer) { q.quota.DisableChecks() },
		"gangs":        func(q *Queuer) { q.partialGangs = true },
		"dependencies": func(q *Queuer) { q.ignoreDependencies = true },
	}
	for name, broken := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			detected := 0
			for seed := range 100 {
				if _, err := checkScript(scripts.Example(seed), broken); err != nil {
					detected++
				}
			}
			t.Logf("detected in %d of 100 scripts", detected)
			is.True(detected > 0) // at least one script detects the broken variant
		})
	}
}
