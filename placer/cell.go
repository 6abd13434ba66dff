package placer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// Cell holds the upstreams of one availability zone and what runs on them.
type Cell struct {
	upstreams map[unit.Upstream]*upstream
	order     []*upstream
	running   map[unit.Task]*Running
	scorer    Scorer
}

// upstream is a worker with what is given out of it.
type upstream struct {
	Worker
	// given is the sum of the charges of its tasks; claimed is what is kept
	// for tasks that wait until others have ended there.
	given   unit.Resources
	claimed unit.Resources
	tasks   map[unit.Task]*Running
	gone    bool
}

// Running is a task on an upstream, from its start or adoption until End.
type Running struct {
	Task
	Upstream unit.Upstream
	// Charge is what the task holds: the larger of the declared and the
	// learned size.
	Charge   unit.Resources
	Stopping bool
}

// NewCell returns a cell without upstreams.
func NewCell(scorer Scorer) *Cell {
	return &Cell{
		upstreams: map[unit.Upstream]*upstream{},
		running:   map[unit.Task]*Running{},
		scorer:    scorer,
	}
}

// free is what a new task may get. It is negative where an upstream shrank,
// or where claims wait for tasks to end.
func (u *upstream) free() unit.Resources {
	return u.Holds.Sub(u.given).Sub(u.claimed)
}

func (u *upstream) usable() bool {
	return !u.gone && !u.Departing
}

// SetWorker announces an upstream or changes what it holds.
func (c *Cell) SetWorker(w Worker) {
	u := c.upstreams[w.ID]
	if u == nil {
		u = &upstream{tasks: map[unit.Task]*Running{}}
		c.upstreams[w.ID] = u
		c.order = append(c.order, u)
	}
	u.Worker = w
	u.gone = false
}

// Remove takes an upstream out. Its tasks are returned and stay known until
// End, since they may still run.
func (c *Cell) Remove(id unit.Upstream) []unit.Task {
	u := c.upstreams[id]
	if u == nil {
		return nil
	}
	u.gone = true
	tasks := slices.Sorted(maps.Keys(u.tasks))
	c.forget(u)
	return tasks
}

// forget drops an upstream that is gone once nothing of it is charged.
func (c *Cell) forget(u *upstream) {
	if !u.gone || len(u.tasks) > 0 {
		return
	}
	delete(c.upstreams, u.ID)
	c.order = slices.DeleteFunc(c.order, func(o *upstream) bool { return o == u })
}

// Find returns the upstream that a task of size charge goes to.
func (c *Cell) Find(_ Task, charge unit.Resources) (unit.Upstream, bool) {
	for _, u := range c.order {
		if u.usable() && charge.Fits(u.free()) {
			return u.ID, true
		}
	}
	return "", false
}

// Place gives a task its upstream. It panics if the upstream doesn't hold
// enough: the caller must have asked Find.
func (c *Cell) Place(t Task, charge unit.Resources, id unit.Upstream) {
	u := c.upstreams[id]
	if u == nil || !u.usable() || !charge.Fits(u.free()) {
		panic(fmt.Sprintf("placer: task %s was placed on %s, which has no room for it", t.ID, id))
	}
	c.add(u, t, charge)
}

// Adopt charges a task that was found running on an upstream, also if the
// upstream holds less or isn't known.
func (c *Cell) Adopt(t Task, charge unit.Resources, id unit.Upstream) {
	if _, known := c.running[t.ID]; known {
		return
	}
	u := c.upstreams[id]
	if u == nil {
		u = &upstream{Worker: Worker{ID: id}, tasks: map[unit.Task]*Running{}, gone: true}
		c.upstreams[id] = u
		c.order = append(c.order, u)
	}
	c.add(u, t, charge)
}

func (c *Cell) add(u *upstream, t Task, charge unit.Resources) {
	r := &Running{Task: t, Upstream: u.ID, Charge: charge}
	u.given = u.given.Add(charge)
	u.tasks[t.ID] = r
	c.running[t.ID] = r
}

// End takes a task off its upstream. It reports false if it isn't running.
func (c *Cell) End(id unit.Task) (Running, bool) {
	r := c.running[id]
	if r == nil {
		return Running{}, false
	}
	u := c.upstreams[r.Upstream]
	u.given = u.given.Sub(r.Charge)
	delete(u.tasks, id)
	delete(c.running, id)
	c.forget(u)
	return *r, true
}

// Running returns a running task.
func (c *Cell) Running(id unit.Task) (Running, bool) {
	r := c.running[id]
	if r == nil {
		return Running{}, false
	}
	return *r, true
}
