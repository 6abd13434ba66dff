package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Never is the estimated end of work that doesn't end by itself.
const Never = clock.Millis(math.MaxInt64 / 4)

// Cell holds the upstreams of one availability zone and what runs on them.
type Cell struct {
	upstreams map[unit.Upstream]*upstream
	// slots holds the same upstreams by the number that the indexes use.
	slots  []*upstream
	unused []int32
	// open ranks the usable upstreams by their free room; yielding has what
	// they could free for urgent work besides.
	open     index
	yielding index
	running  map[unit.Task]*Placement
	claims   map[unit.Task]*claim
	scorer   Scorer
	// racks counts the tasks of each service by rack.
	racks map[unit.Workload]map[unit.Rack]int
	total unit.Resources
	// freed lists the upstreams whose free room grew since TakeFreed.
	freed     []unit.Upstream
	shapes    shapes
	health    health
	unchecked bool
}

// upstream is a worker with what is given out of it.
type upstream struct {
	Upstream
	slot int32
	// given is the sum of the charges of its tasks.
	given unit.Resources
	// claimed is kept for tasks that wait for others to end: urgent ones, and
	// the one group that has a reservation.
	urgentClaimed unit.Resources
	groupClaimed  unit.Resources
	// stopping and preemptible are the parts of given that end soon, and that
	// urgent work may end.
	stopping    unit.Resources
	preemptible unit.Resources
	// tasks are in the order of their starts.
	tasks  []*Placement
	claims []*claim
	gone   bool
	fresh  bool
	// counted is the part of the cell's total that is this upstream's.
	counted unit.Resources
	condition
}

// Placement is a task on an upstream, from its start or adoption until RemoveTask.
type Placement struct {
	Task
	Upstream unit.Upstream
	// Charge is what the task holds: the larger of the declared and the
	// learned size.
	Charge unit.Resources
	// Extra is what it was seen to use beyond that and the upstream had room
	// for.
	Extra unit.Resources
	// Unmet is what it uses beyond both.
	Unmet        unit.Resources
	Started      clock.Millis
	EstimatedEnd clock.Millis
	Stopping     bool
	// Backfill marks a task that runs on the room of a reservation until the
	// reservation needs it.
	Backfill bool
}

// NewCell returns a cell without upstreams.
func NewCell(scorer Scorer) *Cell {
	return &Cell{
		upstreams: map[unit.Upstream]*upstream{},
		open:      newIndex(),
		yielding:  newIndex(),
		running:   map[unit.Task]*Placement{},
		claims:    map[unit.Task]*claim{},
		scorer:    scorer,
		racks:     map[unit.Workload]map[unit.Rack]int{},
		shapes:    shapes{},
		health:    newHealth(),
	}
}

// DisableChecks makes the cell give out room that isn't there. It exists for
// the tests that show that the capacity property notices.
func (c *Cell) DisableChecks() { c.unchecked = true }

// free is what a new task may get. It is negative where an upstream shrank,
// or where claims wait for tasks to end.
func (u *upstream) free() unit.Resources {
	return u.Capacity.Sub(u.given).Sub(u.urgentClaimed).Sub(u.groupClaimed)
}

// unclaimed is what urgent work and backfill may get: reservations of groups
// don't bind them.
func (u *upstream) unclaimed() unit.Resources {
	return u.Capacity.Sub(u.given).Sub(u.urgentClaimed)
}

// yields is what urgent work could get once all that may stop has stopped.
func (u *upstream) yields() unit.Resources {
	return u.unclaimed().Add(u.stopping).Add(u.preemptible)
}

func (u *upstream) usable() bool {
	return !u.gone && !u.Unschedulable && !u.quarantined
}

// Preemptible reports whether a task may be stopped to make room.
func (t Task) Preemptible() bool {
	b, is := t.Kind.(Batch)
	return is && !t.Urgent && (b.Checkpoints || t.Repeatable)
}

// touch brings the indexes and sums up to date after a change of an upstream.
// before is its free room before the change.
func (c *Cell) touch(u *upstream, before unit.Resources) {
	if !u.usable() {
		c.open.remove(u.slot)
		c.yielding.remove(u.slot)
		c.count(u, unit.Resources{})
		return
	}
	free := u.free()
	if c.unchecked {
		free = u.Capacity
	}
	c.open.put(u.slot, c.rank(u), free.Vector())
	c.yielding.put(u.slot, c.rank(u), u.yields().Vector())
	c.count(u, u.Capacity)
	if !free.Fits(before) && !u.fresh {
		u.fresh = true
		c.freed = append(c.freed, u.ID)
	}
}

func (c *Cell) count(u *upstream, holds unit.Resources) {
	c.total = c.total.Sub(u.counted).Add(holds)
	u.counted = holds
}

// Total returns what the usable upstreams hold together.
func (c *Cell) Total() unit.Resources { return c.total }

// Upstreams returns the number of known upstreams.
func (c *Cell) Upstreams() int { return len(c.upstreams) }

// TakeFreed returns the upstreams whose free room grew since the last call.
func (c *Cell) TakeFreed() []unit.Upstream {
	freed := c.freed
	c.freed = nil
	for _, id := range freed {
		if u := c.upstreams[id]; u != nil {
			u.fresh = false
		}
	}
	return freed
}

// nothing is a free room that any other exceeds.
var nothing = unit.FromVector(vector{math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64})

// SetUpstream announces an upstream or changes what it holds. It reports whether
// anything changed.
func (c *Cell) SetUpstream(now clock.Millis, w Upstream) bool {
	u := c.upstreams[w.ID]
	if u == nil {
		u = c.addUpstream(w.ID)
	}
	if !u.gone && u.Upstream == w {
		return false
	}
	before := u.free()
	if !u.usable() {
		before = nothing
	}
	if !u.gone {
		c.shapes.drop(u.Capacity, now)
	}
	c.moveRack(u, w.Rack)
	u.Upstream = w
	u.gone = false
	c.shapes.add(u.Capacity, now)
	c.touch(u, before)
	return true
}

func (c *Cell) addUpstream(id unit.Upstream) *upstream {
	u := &upstream{Upstream: Upstream{ID: id}, gone: true}
	if n := len(c.unused); n > 0 {
		u.slot = c.unused[n-1]
		c.unused = c.unused[:n-1]
		c.slots[u.slot] = u
	} else {
		u.slot = int32(len(c.slots))
		c.slots = append(c.slots, u)
	}
	c.upstreams[id] = u
	return u
}

// moveRack keeps the rack counts right if an upstream changes its rack.
func (c *Cell) moveRack(u *upstream, to unit.Rack) {
	if u.Rack == to {
		return
	}
	for _, r := range u.tasks {
		c.countRack(r.Task, u.Rack, -1)
		c.countRack(r.Task, to, 1)
	}
}

// RemoveUpstream takes an upstream out. Its tasks are returned and stay known until
// RemoveTask, since they may still run.
func (c *Cell) RemoveUpstream(now clock.Millis, id unit.Upstream) []unit.Task {
	u := c.upstreams[id]
	if u == nil {
		return nil
	}
	if !u.gone {
		c.shapes.drop(u.Capacity, now)
	}
	u.gone = true
	c.touch(u, nothing)
	tasks := make([]unit.Task, 0, len(u.tasks))
	for _, r := range u.tasks {
		tasks = append(tasks, r.ID)
	}
	c.forget(u)
	return tasks
}

// forget drops an upstream that is gone once nothing of it is charged.
func (c *Cell) forget(u *upstream) {
	if !u.gone || len(u.tasks) > 0 || len(u.claims) > 0 {
		return
	}
	c.release(u)
	delete(c.upstreams, u.ID)
	c.slots[u.slot] = nil
	c.unused = append(c.unused, u.slot)
}

// Place gives a task its upstream. It panics if the upstream doesn't hold
// enough: the caller must have asked Find.
func (c *Cell) Place(r Placement) {
	u := c.upstreams[r.Upstream]
	room := unit.Resources{}
	switch {
	case u == nil || u.gone || u.Unschedulable:
	case r.Backfill:
		room = u.unclaimed()
	default:
		room = u.free()
	}
	if !r.Charge.Fits(room) && !c.unchecked {
		panic(fmt.Sprintf("placer: task %s was placed on %s, which has no room for it", r.ID, r.Upstream))
	}
	if u.quarantined {
		u.probe = r.ID
	}
	c.add(u, r)
}

// Adopt charges a task that was found running on an upstream, also if the
// upstream holds less or isn't known.
func (c *Cell) Adopt(r Placement) {
	if _, known := c.running[r.ID]; known {
		return
	}
	u := c.upstreams[r.Upstream]
	if u == nil {
		u = c.addUpstream(r.Upstream)
	}
	c.add(u, r)
}

func (c *Cell) add(u *upstream, r Placement) {
	before := u.free()
	t := &r
	u.given = u.given.Add(t.Charge)
	if t.Preemptible() {
		u.preemptible = u.preemptible.Add(t.Charge)
	}
	u.tasks = append(u.tasks, t)
	c.running[t.ID] = t
	c.countRack(t.Task, u.Rack, 1)
	c.touch(u, before)
}

func (c *Cell) countRack(t Task, rack unit.Rack, by int) {
	if _, is := t.Kind.(Service); !is {
		return
	}
	counts := c.racks[t.Workload]
	if counts == nil {
		counts = map[unit.Rack]int{}
		c.racks[t.Workload] = counts
	}
	counts[rack] += by
	if counts[rack] == 0 {
		delete(counts, rack)
	}
	if len(counts) == 0 {
		delete(c.racks, t.Workload)
	}
}

// MarkStopping marks a running task as told to stop. It reports false if it isn't
// running or was told already.
func (c *Cell) MarkStopping(id unit.Task) bool {
	r := c.running[id]
	if r == nil || r.Stopping {
		return false
	}
	u := c.upstreams[r.Upstream]
	before := u.free()
	r.Stopping = true
	whole := r.Charge.Add(r.Extra)
	u.stopping = u.stopping.Add(whole)
	if r.Preemptible() {
		u.preemptible = u.preemptible.Sub(whole)
	}
	c.touch(u, before)
	return true
}

// RemoveTask takes a task off its upstream. It reports false if it isn't running.
func (c *Cell) RemoveTask(id unit.Task) (Placement, bool) {
	r := c.running[id]
	if r == nil {
		return Placement{}, false
	}
	u := c.upstreams[r.Upstream]
	before := u.free()
	whole := r.Charge.Add(r.Extra)
	u.given = u.given.Sub(whole)
	switch {
	case r.Stopping:
		u.stopping = u.stopping.Sub(whole)
	case r.Preemptible():
		u.preemptible = u.preemptible.Sub(whole)
	}
	u.dropTask(r)
	delete(c.running, id)
	c.countRack(r.Task, u.Rack, -1)
	c.probeEnded(u, id)
	c.growUnmet(u)
	c.touch(u, before)
	c.forget(u)
	return *r, true
}

func (u *upstream) dropTask(r *Placement) {
	for i, t := range u.tasks {
		if t == r {
			u.tasks = append(u.tasks[:i], u.tasks[i+1:]...)
			return
		}
	}
}

// Placement returns a running task.
func (c *Cell) Placement(id unit.Task) (Placement, bool) {
	r := c.running[id]
	if r == nil {
		return Placement{}, false
	}
	return *r, true
}

// TasksOf returns a team's running tasks that weren't told to stop, in the
// order of cost, of equal ones the last started first.
func (c *Cell) TasksOf(team unit.Team, cost Cost) []Placement {
	var tasks []Placement
	for _, r := range c.running {
		if r.Team == team && !r.Stopping {
			tasks = append(tasks, *r)
		}
	}
	slices.SortFunc(tasks, func(a, b Placement) int {
		return cmp.Or(compare(cost(a), cost(b)), compare(int64(b.Started), int64(a.Started)), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}
