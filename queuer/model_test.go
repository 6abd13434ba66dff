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

// model knows, apart from the queuer, what runs where, and checks each
// decision against it.
type model struct {
	q       *Queuer
	broken  func(*Queuer)
	choose  script
	now     clock.Millis
	workers map[unit.Upstream]placer.Upstream
	gone    map[unit.Upstream]bool
	waiting map[unit.Task]placer.Task
	running map[unit.Task]placement
	ended   []unit.Task
	// unclaimed are the upstreams that a new queuer has not heard of yet.
	unclaimed map[unit.Upstream]bool
	settled   map[unit.Workload]bool
	allot     map[unit.Team]unit.Resources
	ids       int
	made      []Decision
	// calm scripts lose and change nothing, so that claims come true.
	calm bool
}

type placement struct {
	placer.Task
	on       unit.Upstream
	stopping bool
}

var works = []unit.Workload{"first", "second", "third"}

// checkScript plays a script of events and returns the decisions, or the first
// that breaks a rule. broken changes each new queuer; it may be nil.
func checkScript(choose []int, broken func(*Queuer)) (made []Decision, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	m := &model{
		broken: broken, choose: choose,
		workers: map[unit.Upstream]placer.Upstream{},
		gone:    map[unit.Upstream]bool{},
		waiting: map[unit.Task]placer.Task{},
		running: map[unit.Task]placement{},
		settled: map[unit.Workload]bool{},
		allot:   map[unit.Team]unit.Resources{},
	}
	m.allot["a"], m.allot["b"] = size(20, 20, 20, 10), size(10, 10, 10, 10)
	m.renew()
	m.announce()
	m.announce()
	m.calm = m.choose.pick(2) == 0
	for len(m.choose) > 0 {
		m.now += clock.Millis(m.choose.pick(3000))
		if err := m.step(); err != nil {
			return nil, err
		}
	}
	return m.made, m.drain()
}

// drain cancels and ends all and wants every account to be empty.
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
	for _, t := range m.q.byName {
		if held := m.q.zone.Allocated(t.name); !held.IsZero() || !t.held.IsZero() || !t.stopping.IsZero() || !t.preemptible.IsZero() {
			return errors.Newf("team %s holds %v: %+v", t.name, held, t)
		}
	}
	for _, u := range m.q.cell.Status() {
		if !u.Used.IsZero() || !u.Claimed.IsZero() || u.Tasks != 0 {
			return errors.Newf("upstream %+v isn't empty", u)
		}
	}
	return nil
}

func (m *model) renew() {
	m.q = New(Config{MaxWaiting: 50})
	if m.broken != nil {
		m.broken(m.q)
	}
	m.q.SetTeams([]Team{{Name: "a", Share: 2}, {Name: "b", Share: 1}})
	m.q.SetAllotments(m.allot)
	for work, ok := range m.settled {
		m.q.ResolveDependency(work, ok)
	}
}

func (m *model) step() error {
	event := m.choose.pick(18)
	if m.calm && (event < 2 || event == 10 || event == 13) {
		return m.decide()
	}
	switch event {
	case 0:
		m.announce()
	case 1:
		m.lose()
	case 2, 3, 4, 5:
		m.add(m.task(), m.kind())
	case 6:
		m.addGang()
	case 7, 8:
		m.end()
	case 9:
		m.usage()
	case 10:
		m.setAllotment()
	case 11:
		m.settle()
	case 12:
		m.cancel()
	case 13:
		return m.takeover()
	default:
		return m.decide()
	}
	return nil
}

func (m *model) announce() {
	id := unit.Upstream(fmt.Sprint("u", m.choose.pick(4)))
	w := placer.Upstream{
		ID:            id,
		Rack:          unit.Rack(fmt.Sprint("r", m.choose.pick(2))),
		Capacity:      size(2+m.choose.pick(7), 2+m.choose.pick(7), 2+m.choose.pick(7), 8),
		Unschedulable: m.choose.pick(8) == 7,
	}
	m.workers[id] = w
	delete(m.gone, id)
	m.q.SetUpstream(m.now, w)
}

func (m *model) lose() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.workers)))
	m.gone[id] = true
	m.q.RemoveUpstream(m.now, id)
}

func pickOf[T any](m *model, values []T) (chosen T) {
	if len(values) == 0 {
		return chosen
	}
	return values[m.choose.pick(len(values))]
}

func (m *model) task() placer.Task {
	m.ids++
	t := placer.Task{
		ID:         unit.Task(fmt.Sprintf("t%04d", m.ids)),
		Team:       []unit.Team{"a", "b"}[m.choose.pick(2)],
		Account:    unit.ClientAccount(fmt.Sprint(m.choose.pick(2))),
		Need:       size(1+m.choose.pick(4), m.choose.pick(4), m.choose.pick(3), 0),
		Repeatable: m.choose.pick(3) > 0,
		RunTime:    clock.Millis(m.choose.pick(3)) * 10 * clock.Second,
	}
	t.Workload = unit.Workload(fmt.Sprint("work", t.Need.CPU))
	if m.choose.pick(5) == 0 {
		t.StartDeadline = m.now + clock.Millis(m.choose.pick(60))*clock.Second
	}
	if m.choose.pick(6) == 0 {
		t.DependsOn = []unit.Workload{works[m.choose.pick(len(works))]}
	}
	return t
}

func (m *model) kind() placer.Kind {
	return []placer.Kind{placer.Batch{}, placer.Batch{Checkpoints: true}, placer.Service{}}[m.choose.pick(3)]
}

func (m *model) add(t placer.Task, kind placer.Kind) {
	t.Kind = kind
	_, batch := kind.(placer.Batch)
	t.Urgent = batch && m.choose.pick(3) == 0
	if m.q.Add(m.now, t) == nil {
		m.waiting[t.ID] = t
	}
}

func (m *model) addGang() {
	t := m.task()
	g := placer.Gang{ID: unit.Workload("gang" + string(t.ID)), Size: 2 + m.choose.pick(3)}
	for i := range g.Size {
		member := t
		member.ID = unit.Task(fmt.Sprint(t.ID, "-", i))
		member.Kind = g
		if m.q.Add(m.now, member) == nil {
			m.waiting[member.ID] = member
		}
	}
}

func (m *model) end() {
	if m.choose.pick(5) == 0 && len(m.ended) > 0 {
		m.q.FinishTask(m.now, pickOf(m, m.ended), Succeeded{})
		return
	}
	id := pickOf(m, slices.Sorted(maps.Keys(m.running)))
	if id == "" {
		return
	}
	ends := []TaskOutcome{Succeeded{}, Succeeded{}, Failed{}, Stopped{}, UpstreamRefused{}, UpstreamLost{}}
	m.q.FinishTask(m.now, id, ends[m.choose.pick(len(ends))])
	delete(m.running, id)
	m.ended = append(m.ended, id)
}

func (m *model) usage() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.running)))
	m.q.RecordUsage(id, size(m.choose.pick(6), m.choose.pick(6), m.choose.pick(3), 0))
}

func (m *model) setAllotment() {
	team := []unit.Team{"a", "b"}[m.choose.pick(2)]
	m.allot[team] = size(m.choose.pick(24), m.choose.pick(24), m.choose.pick(24), 10)
	m.q.SetAllotments(m.allot)
}

func (m *model) settle() {
	work := works[m.choose.pick(len(works))]
	m.settled[work] = m.choose.pick(4) > 0
	m.q.ResolveDependency(work, m.settled[work])
}

func (m *model) cancel() {
	id := pickOf(m, slices.Sorted(maps.Keys(m.waiting)))
	if m.q.Cancel(m.now, id) {
		delete(m.waiting, id)
	}
}

// takeover makes a new queuer, which learns of what runs bit by bit and
// starts work in between.
func (m *model) takeover() error {
	m.renew()
	for team, a := range m.allot {
		m.q.SetInherited(team, a)
	}
	m.waiting = map[unit.Task]placer.Task{}
	m.unclaimed = maps.Clone(m.gone)
	for id := range m.workers {
		m.unclaimed[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(m.workers)) {
		if m.gone[id] {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(m.running)) {
			if r := m.running[task]; r.on == id {
				m.q.Adopt(m.now, r.Task, id)
				r.stopping = false
				m.running[task] = r
			}
		}
		m.q.SetUpstream(m.now, m.workers[id])
		delete(m.unclaimed, id)
		m.add(m.task(), placer.Batch{})
		if err := m.decide(); err != nil {
			return err
		}
	}
	for task, r := range m.running {
		if m.gone[r.on] {
			delete(m.running, task)
		}
	}
	for team := range m.allot {
		m.q.ClearInherited(team)
	}
	return nil
}
