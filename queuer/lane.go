package queuer

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// class divides lanes and tasks into urgent ones, which start first, and all
// others.
type class int

const (
	urgentClass class = iota
	ordinaryClass
	numClasses
)

// block is why the first task of a lane didn't start when it was last tried.
type block int

const (
	// untried means that the lane hasn't been tried since its state changed.
	untried block = iota
	// byAllotment means that the team lacks allotment.
	byAllotment
	// byCapacity means that no upstream has the free capacity.
	byCapacity
	// byIncompleteGang means that tasks of the gang haven't been added.
	byIncompleteGang
	// bySaving means that the team saves its allotment for another lane.
	bySaving
)

// stage is the stage of a waiting task on its way to a start.
type stage int

const (
	// inLane tasks wait in their lane for allotment or capacity.
	inLane stage = iota
	// dependent tasks wait until other workloads are resolved.
	dependent
	// claiming tasks have claimed capacity and reserved allotment.
	claiming
	// removed tasks no longer wait.
	removed
)

// waiting is a task from Add until it starts, is cancelled or rejected.
type waiting struct {
	placer.Task
	seq     uint64
	addedAt clock.Millis
	lane    *lane
	stage   stage
	charge  unit.Resources
	// unresolved counts the dependencies that it waits for.
	unresolved int
}

// laneKey holds the properties that the tasks of a lane share. They need the same capacity
// and allotment, so if one of them can't start, the next can't either.
type laneKey struct {
	team       unit.Team
	account    unit.ClientAccount
	workload   unit.Workload
	kind       placer.Kind
	need       unit.Resources
	urgent     bool
	repeatable bool
}

func keyOf(t placer.Task) laneKey {
	return laneKey{t.Team, t.Account, t.Workload, t.Kind, t.Need, t.Urgent, t.Repeatable}
}

// lane is a queue of tasks with the same laneKey, in order of arrival. Each gang
// has its own lane.
type lane struct {
	key     laneKey
	class   class
	team    *team
	account *account
	// tasks holds the lane's tasks from index head on. Removed tasks are skipped
	// and deleted later, so that a cancellation costs the same at any position.
	tasks []*waiting
	head  int
	// count is the number of tasks that wait in the lane.
	count int
	// sortTime and headSeq order the lane in its account. They are computed
	// from the first task by insertLane.
	sortTime clock.Millis
	headSeq  uint64

	block block
	// failedCharge is the charge that found no capacity.
	failedCharge unit.Resources
	// blockedSince is when the first task first found no capacity or allotment,
	// 0 if it hasn't been blocked.
	blockedSince clock.Millis
	// infeasibleSince is when findInfeasible listed the lane.
	infeasibleSince clock.Millis
	infeasible      bool
	// retryAt is when a gang may be tried again, reserveAt when the lane may get
	// a reservation again, preemptAt when tasks may be stopped for the lane's
	// share again.
	retryAt   clock.Millis
	reserveAt clock.Millis
	preemptAt clock.Millis
	reserved  bool
}

// first returns the oldest task of a lane that is not empty.
func (l *lane) first() *waiting {
	for l.tasks[l.head].stage != inLane {
		l.tasks[l.head] = nil
		l.head++
	}
	return l.tasks[l.head]
}

// waitingTasks returns the tasks that wait in the lane, oldest first.
func (l *lane) waitingTasks() []*waiting {
	tasks := make([]*waiting, 0, l.count)
	for _, w := range l.tasks[l.head:] {
		if w.stage == inLane {
			tasks = append(tasks, w)
		}
	}
	return tasks
}

// compact deletes the removed tasks once they are more than half.
func (l *lane) compact() {
	if len(l.tasks) > 32 && l.count*2 < len(l.tasks) {
		l.tasks = l.waitingTasks()
		l.head = 0
	}
}

// gang returns the gang whose tasks the lane queues, and false if there is none.
func (l *lane) gang() (placer.Gang, bool) {
	g, ok := l.key.kind.(placer.Gang)
	return g, ok
}

// account is a client account of a team.
type account struct {
	name      unit.ClientAccount
	allocated unit.Resources
	lanes     [numClasses][]*lane
	// next is the index of the lane to try next in the current pass.
	next int
}

// position returns the index of a lane among the account's lanes of its class, or
// the index at which to insert it.
func (a *account) position(l *lane) int {
	i, _ := slices.BinarySearchFunc(a.lanes[l.class], l, func(other, l *lane) int {
		return cmp.Or(cmp.Compare(other.sortTime, l.sortTime), cmp.Compare(other.headSeq, l.headSeq))
	})
	return i
}

// insertLane inserts a lane into its account's order, by its first task. The more
// Weights.Waiting counts, the more short tasks overtake long tasks that arrived
// before. A task is put back by a multiple of its run time at most, so none
// waits forever.
func (q *Queuer) insertLane(l *lane) {
	first := l.first()
	l.headSeq = first.seq
	l.sortTime = first.addedAt
	if q.fair {
		l.sortTime += q.config.shortFirstFactor() * q.expectedRunTime(first.Task)
	}
	a := l.account
	a.lanes[l.class] = slices.Insert(a.lanes[l.class], a.position(l), l)
}

// removeLane removes a lane from the account's order. The fields that order the
// lane must not have changed since insertLane.
func (a *account) removeLane(l *lane) {
	i := a.position(l)
	a.lanes[l.class] = slices.Delete(a.lanes[l.class], i, i+1)
	if i < a.next {
		a.next--
	}
}

// enqueue puts a task into its lane. A task that waited before goes back to its
// place in the order of arrival.
func (q *Queuer) enqueue(w *waiting) {
	key := keyOf(w.Task)
	l := q.lanes[key]
	if l == nil {
		l = q.newLane(key)
	}
	w.lane = l
	w.stage = inLane
	empty := l.count == 0
	l.count++
	if !empty && w.seq > l.first().seq {
		l.tasks = append(l.tasks, w)
		q.markUntried(l)
		return
	}
	if !empty {
		l.account.removeLane(l)
	}
	l.tasks = slices.Insert(l.tasks, l.head, w)
	q.insertLane(l)
	q.markUntried(l)
}

// markUntried makes the next pass try a lane to which a task was added. Another
// task behind a blocked one changes nothing, unless it is part of a gang.
func (q *Queuer) markUntried(l *lane) {
	_, gang := l.gang()
	if l.count == 1 || gang {
		l.block = untried
		q.passNeeded = true
	}
}

func (q *Queuer) newLane(key laneKey) *lane {
	t := q.team(key.team)
	l := &lane{key: key, team: t, account: t.account(key.account), class: ordinaryClass}
	if key.urgent && q.fair {
		l.class = urgentClass
	}
	q.lanes[key] = l
	t.lanes[l.class]++
	return l
}

// dequeue removes a task from its lane and sets its stage.
func (q *Queuer) dequeue(w *waiting, to stage) {
	l := w.lane
	wasFirst := l.first() == w
	w.stage = to
	l.count--
	if !wasFirst {
		l.compact()
		return
	}
	l.account.removeLane(l)
	l.blockedSince = 0
	if l.block == byCapacity {
		l.blockedSince = q.now
	}
	if l.count == 0 {
		q.deleteLane(l)
		return
	}
	l.compact()
	q.insertLane(l)
}

func (q *Queuer) deleteLane(l *lane) {
	delete(q.lanes, l.key)
	l.team.lanes[l.class]--
	if l.team.savingFor == l {
		l.team.savingFor = nil
		q.retryForAllotment(l.team)
	}
}
