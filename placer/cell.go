package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Never is the EstimatedEnd of a task that doesn't end by itself.
const Never = clock.Millis(math.MaxInt64 / 4)

// Cell tracks the upstreams of one availability zone and the tasks that run on
// them.
type Cell struct {
	upstreams map[unit.Upstream]*upstream
	// slots holds the same upstreams by slot, the number by which the indexes
	// refer to them. The elements at freeSlots are nil.
	slots     []*upstream
	freeSlots []int32
	// byFree indexes the usable upstreams by their free capacity,
	// byReclaimable by what they could free for urgent tasks.
	byFree        index
	byReclaimable index
	running       map[unit.Task]*Placement
	claims        map[unit.Task]*claim
	scorer        Scorer
	// rackCounts holds the number of tasks of each service by rack.
	rackCounts map[unit.Workload]map[unit.Rack]int
	// total is the capacity of all usable upstreams.
	total unit.Resources
	// freed lists the upstreams that the next call of DrainFreed returns.
	freed      []unit.Upstream
	capacities capacityCounts
	health     health
	unchecked  bool
}

// upstream is an upstream with its tasks and claims.
type upstream struct {
	Upstream
	slot int32
	// used is the sum of Charge and Extra of its tasks.
	used unit.Resources
	// urgentClaimed and groupClaimed are kept free for tasks that wait for
	// others to end: urgent tasks, and the one group that has a reservation.
	urgentClaimed unit.Resources
	groupClaimed  unit.Resources
	// stopping is the part of used whose tasks have been told to stop,
	// preemptible the part whose tasks may still be preempted.
	stopping    unit.Resources
	preemptible unit.Resources
	// tasks are in the order in which they were started or adopted.
	tasks  []*Placement
	claims []*claim
	// gone is set if the upstream was removed, or if it only has adopted tasks
	// and SetUpstream wasn't called for it.
	gone bool
	// inFreed is set while Cell.freed contains the upstream.
	inFreed bool
	// counted is the upstream's part of Cell.total.
	counted unit.Resources
	condition
}

// Placement is a task on an upstream, from Place, PlaceClaimed or Adopt until
// RemoveTask.
type Placement struct {
	Task
	Upstream unit.Upstream
	// Charge is what the task is charged: the larger of its declared need and
	// its learned usage.
	Charge unit.Resources
	// Extra is the measured usage above Charge for which the upstream had free
	// capacity. It is charged too.
	Extra unit.Resources
	// Unmet is the measured usage above Charge and Extra. It isn't charged.
	Unmet        unit.Resources
	Started      clock.Millis
	EstimatedEnd clock.Millis
	// Stopping is set once the task has been told to stop.
	Stopping bool
	// Backfill marks a task that runs on the capacity of a reservation until
	// the reservation needs it.
	Backfill bool
}

// NewCell returns a cell without upstreams that ranks upstreams by scorer.
func NewCell(scorer Scorer) *Cell {
	return &Cell{
		upstreams:     map[unit.Upstream]*upstream{},
		byFree:        newIndex(),
		byReclaimable: newIndex(),
		running:       map[unit.Task]*Placement{},
		claims:        map[unit.Task]*claim{},
		scorer:        scorer,
		rackCounts:    map[unit.Workload]map[unit.Rack]int{},
		capacities:    capacityCounts{},
		health:        newHealth(),
	}
}

// DisableChecks lets the cell overcommit its upstreams. Tests use it to show
// that the property test of capacity detects an overcommitment.
func (c *Cell) DisableChecks() { c.unchecked = true }

// free returns the capacity that is neither used nor claimed. It is negative
// if the capacity was reduced below what is used, or while claims wait for
// tasks to end.
func (u *upstream) free() unit.Resources {
	return u.Capacity.Sub(u.used).Sub(u.urgentClaimed).Sub(u.groupClaimed)
}

// unclaimed returns the capacity that urgent tasks and backfill may use. They
// may also use what a group has claimed.
func (u *upstream) unclaimed() unit.Resources {
	return u.Capacity.Sub(u.used).Sub(u.urgentClaimed)
}

// reclaimable returns the capacity that urgent tasks could use once all
// stopping and all preemptible tasks have ended.
func (u *upstream) reclaimable() unit.Resources {
	return u.unclaimed().Add(u.stopping).Add(u.preemptible)
}

// usable reports whether the upstream may get new tasks.
func (u *upstream) usable() bool {
	return !u.gone && !u.Unschedulable && !u.quarantined
}

// Preemptible reports whether the task may be stopped to free capacity for
// another: it is a batch task that isn't urgent and either resumes from a
// checkpoint or is repeatable.
func (t Task) Preemptible() bool {
	b, ok := t.Kind.(Batch)
	return ok && !t.Urgent && (b.Checkpoints || t.Repeatable)
}

// reindex updates the indexes, the total and the list of freed upstreams after
// a change of an upstream. freeBefore is its free capacity before the change.
func (c *Cell) reindex(u *upstream, freeBefore unit.Resources) {
	if !u.usable() {
		c.byFree.remove(u.slot)
		c.byReclaimable.remove(u.slot)
		c.setCounted(u, unit.Resources{})
		return
	}
	free := u.free()
	if c.unchecked {
		free = u.Capacity
	}
	c.byFree.put(u.slot, c.rank(u), free.Vector())
	c.byReclaimable.put(u.slot, c.rank(u), u.reclaimable().Vector())
	c.setCounted(u, u.Capacity)
	if !free.Fits(freeBefore) && !u.inFreed {
		u.inFreed = true
		c.freed = append(c.freed, u.ID)
	}
}

// setCounted sets how much of an upstream's capacity the total includes.
func (c *Cell) setCounted(u *upstream, capacity unit.Resources) {
	c.total = c.total.Sub(u.counted).Add(capacity)
	u.counted = capacity
}

// Total returns the capacity of all usable upstreams.
func (c *Cell) Total() unit.Resources { return c.total }

// Upstreams returns the number of known upstreams, including those that are
// gone but may still run tasks.
func (c *Cell) Upstreams() int { return len(c.upstreams) }

// DrainFreed returns the upstreams whose free capacity has grown since the last
// call, and the quarantined ones that have become ready for a probe since then.
func (c *Cell) DrainFreed() []unit.Upstream {
	freed := c.freed
	c.freed = nil
	for _, id := range freed {
		if u := c.upstreams[id]; u != nil {
			u.inFreed = false
		}
	}
	return freed
}

// lowestFree is less than any free capacity. Passed to reindex as the free
// capacity before the change, it lists the upstream as freed.
var lowestFree = unit.FromVector(vector{math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64})

// SetUpstream adds an upstream or changes its rack, capacity or schedulability.
// It reports whether anything changed.
func (c *Cell) SetUpstream(now clock.Millis, next Upstream) bool {
	u := c.upstreams[next.ID]
	if u == nil {
		u = c.addUpstream(next.ID)
	}
	if !u.gone && u.Upstream == next {
		return false
	}
	freeBefore := u.free()
	if !u.usable() {
		freeBefore = lowestFree
	}
	if !u.gone {
		c.capacities.remove(u.Capacity, now)
	}
	c.moveRackCounts(u, next.Rack)
	u.Upstream = next
	u.gone = false
	c.capacities.add(u.Capacity, now)
	c.reindex(u, freeBefore)
	return true
}

func (c *Cell) addUpstream(id unit.Upstream) *upstream {
	u := &upstream{Upstream: Upstream{ID: id}, gone: true}
	if n := len(c.freeSlots); n > 0 {
		u.slot = c.freeSlots[n-1]
		c.freeSlots = c.freeSlots[:n-1]
		c.slots[u.slot] = u
	} else {
		u.slot = int32(len(c.slots))
		c.slots = append(c.slots, u)
	}
	c.upstreams[id] = u
	return u
}

// moveRackCounts updates the rack counts for an upstream that moves to another
// rack.
func (c *Cell) moveRackCounts(u *upstream, to unit.Rack) {
	if u.Rack == to {
		return
	}
	for _, p := range u.tasks {
		c.addRackCount(p.Task, u.Rack, -1)
		c.addRackCount(p.Task, to, 1)
	}
}

// RemoveUpstream removes an upstream and returns its tasks. They may still run,
// so they stay charged until RemoveTask is called for each.
func (c *Cell) RemoveUpstream(now clock.Millis, id unit.Upstream) []unit.Task {
	u := c.upstreams[id]
	if u == nil {
		return nil
	}
	if !u.gone {
		c.capacities.remove(u.Capacity, now)
	}
	u.gone = true
	c.reindex(u, lowestFree)
	tasks := make([]unit.Task, 0, len(u.tasks))
	for _, p := range u.tasks {
		tasks = append(tasks, p.ID)
	}
	c.removeIfUnused(u)
	return tasks
}

// removeIfUnused deletes an upstream that is gone and has neither tasks nor
// claims.
func (c *Cell) removeIfUnused(u *upstream) {
	if !u.gone || len(u.tasks) > 0 || len(u.claims) > 0 {
		return
	}
	c.endQuarantine(u)
	delete(c.upstreams, u.ID)
	c.slots[u.slot] = nil
	c.freeSlots = append(c.freeSlots, u.slot)
}

// Place starts a task on an upstream, which Find or FindBackfill must have
// returned. It panics if the upstream lacks the free capacity.
func (c *Cell) Place(p Placement) {
	u := c.upstreams[p.Upstream]
	free := unit.Resources{}
	switch {
	case u == nil || u.gone || u.Unschedulable:
	case p.Backfill:
		free = u.unclaimed()
	default:
		free = u.free()
	}
	if !p.Charge.Fits(free) && !c.unchecked {
		panic(fmt.Sprintf("placer: task %s was placed on %s, which lacks the free capacity for it", p.ID, p.Upstream))
	}
	if u.quarantined {
		u.probeTask = p.ID
	}
	c.add(u, p)
}

// Adopt charges a task that was found running on an upstream, even if the
// upstream lacks the capacity or isn't known.
func (c *Cell) Adopt(p Placement) {
	if _, known := c.running[p.ID]; known {
		return
	}
	u := c.upstreams[p.Upstream]
	if u == nil {
		u = c.addUpstream(p.Upstream)
	}
	c.add(u, p)
}

func (c *Cell) add(u *upstream, p Placement) {
	freeBefore := u.free()
	placement := &p
	u.used = u.used.Add(placement.Charge)
	if placement.Preemptible() {
		u.preemptible = u.preemptible.Add(placement.Charge)
	}
	u.tasks = append(u.tasks, placement)
	c.running[placement.ID] = placement
	c.addRackCount(placement.Task, u.Rack, 1)
	c.reindex(u, freeBefore)
}

func (c *Cell) addRackCount(t Task, rack unit.Rack, by int) {
	if _, ok := t.Kind.(Service); !ok {
		return
	}
	counts := c.rackCounts[t.Workload]
	if counts == nil {
		counts = map[unit.Rack]int{}
		c.rackCounts[t.Workload] = counts
	}
	counts[rack] += by
	if counts[rack] == 0 {
		delete(counts, rack)
	}
	if len(counts) == 0 {
		delete(c.rackCounts, t.Workload)
	}
}

// MarkStopping records that a running task was told to stop. It reports false
// if the task isn't running or was told to stop before.
func (c *Cell) MarkStopping(id unit.Task) bool {
	p := c.running[id]
	if p == nil || p.Stopping {
		return false
	}
	u := c.upstreams[p.Upstream]
	freeBefore := u.free()
	p.Stopping = true
	charge := p.Charge.Add(p.Extra)
	u.stopping = u.stopping.Add(charge)
	if p.Preemptible() {
		u.preemptible = u.preemptible.Sub(charge)
	}
	c.reindex(u, freeBefore)
	return true
}

// RemoveTask removes a task from its upstream and ends its charge. It returns
// the task's placement, and false if the task isn't running.
func (c *Cell) RemoveTask(id unit.Task) (Placement, bool) {
	p := c.running[id]
	if p == nil {
		return Placement{}, false
	}
	u := c.upstreams[p.Upstream]
	freeBefore := u.free()
	charge := p.Charge.Add(p.Extra)
	u.used = u.used.Sub(charge)
	switch {
	case p.Stopping:
		u.stopping = u.stopping.Sub(charge)
	case p.Preemptible():
		u.preemptible = u.preemptible.Sub(charge)
	}
	u.dropTask(p)
	delete(c.running, id)
	c.addRackCount(p.Task, u.Rack, -1)
	c.probeEnded(u, id)
	c.chargeUnmet(u)
	c.reindex(u, freeBefore)
	c.removeIfUnused(u)
	return *p, true
}

func (u *upstream) dropTask(p *Placement) {
	for i, other := range u.tasks {
		if other == p {
			u.tasks = append(u.tasks[:i], u.tasks[i+1:]...)
			return
		}
	}
}

// Placement returns the placement of a running task, and false if the task isn't
// running.
func (c *Cell) Placement(id unit.Task) (Placement, bool) {
	p := c.running[id]
	if p == nil {
		return Placement{}, false
	}
	return *p, true
}

// TasksOf returns a team's running tasks that haven't been told to stop,
// cheapest first. Among tasks of equal cost, the last started comes first.
func (c *Cell) TasksOf(team unit.Team, cost Cost) []Placement {
	var tasks []Placement
	for _, p := range c.running {
		if p.Team == team && !p.Stopping {
			tasks = append(tasks, *p)
		}
	}
	slices.SortFunc(tasks, func(a, b Placement) int {
		return cmp.Or(compare(cost(a), cost(b)), compare(int64(b.Started), int64(a.Started)), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}
