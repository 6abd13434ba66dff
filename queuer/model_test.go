package queuer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// script is a source of choices that rapid can shrink.
type script []int

func (s *script) pick(n int) int {
	if len(*s) == 0 {
		return 0
	}
	v := (*s)[0]
	*s = (*s)[1:]
	return v % n
}

// model tracks independently of the queuer what runs where, and checks each
// decision against it.
type model struct {
	q         *Queuer
	broken    func(*Queuer)
	choices   script
	now       clock.Millis
	upstreams map[unit.Upstream]placer.Upstream
	gone      map[unit.Upstream]bool
	waiting   map[unit.Task]placer.Task
	running   map[unit.Task]runningTask
	ended     []unit.Task
	// unreported is the set of upstreams that haven't been passed to a new queuer
	// yet.
	unreported map[unit.Upstream]bool
	resolved   map[unit.Workload]bool
	allotments map[unit.Team]unit.Resources
	lastID     int
	decisions  []Decision
	// stable is set for scripts that never change or remove upstreams, change
	// allotments or replace the queuer, so that claims are met.
	stable bool
}

type runningTask struct {
	placer.Task
	upstream unit.Upstream
	stopping bool
}

var workloads = []unit.Workload{"first", "second", "third"}

// checkScript runs a script of events. It returns the decisions, or an error for
// the first that violates a rule. broken changes each new queuer; it may be nil.
func checkScript(choices []int, broken func(*Queuer)) (decisions []Decision, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	m := &model{
		broken: broken, choices: choices,
		upstreams:  map[unit.Upstream]placer.Upstream{},
		gone:       map[unit.Upstream]bool{},
		waiting:    map[unit.Task]placer.Task{},
		running:    map[unit.Task]runningTask{},
		resolved:   map[unit.Workload]bool{},
		allotments: map[unit.Team]unit.Resources{},
	}
	m.allotments["a"], m.allotments["b"] = resources(20, 20, 20, 10), resources(10, 10, 10, 10)
	m.newQueuer()
	m.setUpstream()
	m.setUpstream()
	m.stable = m.choices.pick(2) == 0
	for len(m.choices) > 0 {
		m.now += clock.Millis(m.choices.pick(3000))
		if err := m.step(); err != nil {
			return nil, err
		}
	}
	return m.decisions, m.drain()
}

// drain cancels and ends all tasks, and requires that nothing stays charged.
func (m *model) drain() error {
	for id := range m.waiting {
		m.q.Cancel(m.now, id)
	}
	for id := range m.running {
		m.q.FinishTask(m.now, id, Succeeded{})
	}
	if m.q.Waiting() != 0 || len(m.q.lanes) != 0 || len(m.q.claims) != 0 || m.q.reservation != nil {
		return errors.Newf("%d tasks, %d lanes and %d claims are left", m.q.Waiting(), len(m.q.lanes), len(m.q.claims))
	}
	for _, t := range m.q.teamsByName {
		if allocated := m.q.quota.Allocated(t.name); !allocated.IsZero() || !t.allocated.IsZero() || !t.stopping.IsZero() || !t.preemptible.IsZero() {
			return errors.Newf("team %s is still charged %v: %+v", t.name, allocated, t)
		}
	}
	for _, u := range m.q.cell.Status() {
		if !u.Used.IsZero() || !u.Claimed.IsZero() || u.Tasks != 0 {
			return errors.Newf("upstream %+v isn't empty", u)
		}
	}
	return nil
}

func (m *model) newQueuer() {
	m.q = New(Config{MaxWaiting: 50})
	if m.broken != nil {
		m.broken(m.q)
	}
	m.q.SetTeams([]Team{{Name: "a", Share: 2}, {Name: "b", Share: 1}})
	m.q.SetAllotments(m.allotments)
	for workload, ok := range m.resolved {
		m.q.ResolveDependency(workload, ok)
	}
}

func (m *model) step() error {
	event := m.choices.pick(18)
	if m.stable && (event < 2 || event == 10 || event == 13) {
		return m.decide()
	}
	switch event {
	case 0:
		m.setUpstream()
	case 1:
		m.removeUpstream()
	case 2, 3, 4, 5:
		m.add(m.task(), m.kind())
	case 6:
		m.addGang()
	case 7, 8:
		m.finishTask()
	case 9:
		m.recordUsage()
	case 10:
		m.setAllotment()
	case 11:
		m.resolveDependency()
	case 12:
		m.cancel()
	case 13:
		return m.replaceQueuer()
	default:
		return m.decide()
	}
	return nil
}

func (m *model) setUpstream() {
	id := unit.Upstream(fmt.Sprint("u", m.choices.pick(4)))
	next := placer.Upstream{
		ID:            id,
		Rack:          unit.Rack(fmt.Sprint("r", m.choices.pick(2))),
		Capacity:      resources(2+m.choices.pick(7), 2+m.choices.pick(7), 2+m.choices.pick(7), 8),
		Unschedulable: m.choices.pick(8) == 7,
	}
	m.upstreams[id] = next
	delete(m.gone, id)
	m.q.SetUpstream(m.now, next)
}

func (m *model) removeUpstream() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.upstreams)))
	m.gone[id] = true
	m.q.RemoveUpstream(m.now, id)
}

func pickOf[T any](m *model, values []T) (chosen T) {
	if len(values) == 0 {
		return chosen
	}
	return values[m.choices.pick(len(values))]
}

func (m *model) task() placer.Task {
	m.lastID++
	t := placer.Task{
		ID:         unit.Task(fmt.Sprintf("t%04d", m.lastID)),
		Team:       []unit.Team{"a", "b"}[m.choices.pick(2)],
		Account:    unit.ClientAccount(fmt.Sprint(m.choices.pick(2))),
		Need:       resources(1+m.choices.pick(4), m.choices.pick(4), m.choices.pick(3), 0),
		Repeatable: m.choices.pick(3) > 0,
		RunTime:    clock.Millis(m.choices.pick(3)) * 10 * clock.Second,
	}
	t.Workload = unit.Workload(fmt.Sprint("work", t.Need.CPU))
	if m.choices.pick(5) == 0 {
		t.StartDeadline = m.now + clock.Millis(m.choices.pick(60))*clock.Second
	}
	if m.choices.pick(6) == 0 {
		t.DependsOn = []unit.Workload{workloads[m.choices.pick(len(workloads))]}
	}
	return t
}

func (m *model) kind() placer.Kind {
	return []placer.Kind{placer.Batch{}, placer.Batch{Checkpoints: true}, placer.Service{}}[m.choices.pick(3)]
}

func (m *model) add(t placer.Task, kind placer.Kind) {
	t.Kind = kind
	_, batch := kind.(placer.Batch)
	t.Urgent = batch && m.choices.pick(3) == 0
	if m.q.Add(m.now, t) == nil {
		m.waiting[t.ID] = t
	}
}

func (m *model) addGang() {
	t := m.task()
	g := placer.Gang{ID: unit.Workload("gang" + string(t.ID)), Size: 2 + m.choices.pick(3)}
	for i := range g.Size {
		member := t
		member.ID = unit.Task(fmt.Sprint(t.ID, "-", i))
		member.Kind = g
		if m.q.Add(m.now, member) == nil {
			m.waiting[member.ID] = member
		}
	}
}

func (m *model) finishTask() {
	if m.choices.pick(5) == 0 && len(m.ended) > 0 {
		m.q.FinishTask(m.now, pickOf(m, m.ended), Succeeded{})
		return
	}
	id := pickOf(m, slices.Sorted(maps.Keys(m.running)))
	if id == "" {
		return
	}
	ends := []TaskOutcome{Succeeded{}, Succeeded{}, Failed{}, Stopped{}, UpstreamRefused{}, UpstreamLost{}}
	m.q.FinishTask(m.now, id, ends[m.choices.pick(len(ends))])
	delete(m.running, id)
	m.ended = append(m.ended, id)
}

func (m *model) recordUsage() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.running)))
	m.q.RecordUsage(id, resources(m.choices.pick(6), m.choices.pick(6), m.choices.pick(3), 0))
}

func (m *model) setAllotment() {
	team := []unit.Team{"a", "b"}[m.choices.pick(2)]
	m.allotments[team] = resources(m.choices.pick(24), m.choices.pick(24), m.choices.pick(24), 10)
	m.q.SetAllotments(m.allotments)
}

func (m *model) resolveDependency() {
	workload := workloads[m.choices.pick(len(workloads))]
	m.resolved[workload] = m.choices.pick(4) > 0
	m.q.ResolveDependency(workload, m.resolved[workload])
}

func (m *model) cancel() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.waiting)))
	if m.q.Cancel(m.now, id) {
		delete(m.waiting, id)
	}
}

// replaceQueuer makes a new queuer as a new scheduler does. The queuer adopts the
// running tasks one upstream at a time and starts tasks in between.
func (m *model) replaceQueuer() error {
	m.newQueuer()
	for team, a := range m.allotments {
		m.q.SetInherited(team, a)
	}
	m.waiting = map[unit.Task]placer.Task{}
	m.unreported = maps.Clone(m.gone)
	for id := range m.upstreams {
		m.unreported[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(m.upstreams)) {
		if m.gone[id] {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(m.running)) {
			if r := m.running[task]; r.upstream == id {
				m.q.Adopt(m.now, r.Task, id)
				r.stopping = false
				m.running[task] = r
			}
		}
		m.q.SetUpstream(m.now, m.upstreams[id])
		delete(m.unreported, id)
		m.add(m.task(), placer.Batch{})
		if err := m.decide(); err != nil {
			return err
		}
	}
	for task, r := range m.running {
		if m.gone[r.upstream] {
			delete(m.running, task)
		}
	}
	for team := range m.allotments {
		m.q.ClearInherited(team)
	}
	return nil
}
