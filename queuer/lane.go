package queuer

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// class divides the lanes: urgent ones are served first.
type class int

const (
	urgentClass class = iota
	ordinaryClass
	classes
)

// block is why the head of a lane didn't start when it was last tried.
type block int

const (
	untried block = iota
	byLimit
	byCapacity
	byGang
	bySaving
)

// stage is where a waiting task is.
type stage int

const (
	inLane stage = iota
	// dependent tasks wait for other work to settle.
	dependent
	// claiming tasks have room claimed, and their allotment reserved.
	claiming
	left
)

// waiting is a task from Add until it starts, is cancelled or rejected.
type waiting struct {
	placer.Task
	seq    uint64
	since  clock.Millis
	lane   *lane
	stage  stage
	charge unit.Resources
	// unsettled counts the work that it waits for.
	unsettled int
}

// laneKey is what tasks have in common that are alike for the queuer: if one
// can't start, the next can't either.
type laneKey struct {
	team       unit.Team
	account    unit.ClientAccount
	work       unit.Workload
	kind       placer.Kind
	need       unit.Resources
	urgent     bool
	repeatable bool
}

func keyOf(t placer.Task) laneKey {
	return laneKey{t.Team, t.Account, t.Workload, t.Kind, t.Need, t.Urgent, t.Repeatable}
}

// lane is a queue of tasks that are alike, in order of arrival. The tasks of
// a gang are a lane of their own.
type lane struct {
	key     laneKey
	class   class
	team    *team
	account *account
	// tasks from head on; those that left are skipped and dropped lazily, so
	// that a cancellation costs the same wherever the task stands.
	tasks []*waiting
	head  int
	live  int
	// due and at are the turn of the head and its arrival, by which the account
	// sorts the lane.
	due clock.Millis
	at  uint64

	block block
	// failed is the charge that found no room.
	failed unit.Resources
	// blockedSince is when the head first found no room or allotment.
	blockedSince clock.Millis
	// impossibleSince is when the head first fitted no upstream at all.
	impossibleSince clock.Millis
	watched         bool
	// retryAt is when a gang may be tried again, reserveAt when a reservation
	// may be made again.
	retryAt   clock.Millis
	reserveAt clock.Millis
	moveAt    clock.Millis
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

// all returns the tasks that wait in the lane.
func (l *lane) all() []*waiting {
	tasks := make([]*waiting, 0, l.live)
	for _, w := range l.tasks[l.head:] {
		if w.stage == inLane {
			tasks = append(tasks, w)
		}
	}
	return tasks
}

// compact drops the tasks that left once they are the larger part.
func (l *lane) compact() {
	if len(l.tasks) > 32 && l.live*2 < len(l.tasks) {
		l.tasks = l.all()
		l.head = 0
	}
}

// gang returns the gang of the lane, if it is one.
func (l *lane) gang() (placer.Gang, bool) {
	g, is := l.key.kind.(placer.Gang)
	return g, is
}

// account is a client account of a team.
type account struct {
	name  unit.ClientAccount
	held  unit.Resources
	lanes [classes][]*lane
	// next is the lane to try in this pass.
	next int
}

// place returns where a lane stands, or belongs, among the account's lanes.
func (a *account) place(l *lane) int {
	i, _ := slices.BinarySearchFunc(a.lanes[l.class], l, func(o, l *lane) int {
		return cmp.Or(cmp.Compare(o.due, l.due), cmp.Compare(o.at, l.at))
	})
	return i
}

// stand sorts a lane into its account by its head. The more waiting weighs,
// the further long work stands behind short work that arrived later; by how
// much is bounded by its run time, so nothing waits for ever.
func (q *Queuer) stand(l *lane) {
	first := l.first()
	l.at = first.seq
	l.due = first.since
	if q.fair {
		l.due += q.config.shortFirst() * q.runTime(first.Task)
	}
	a := l.account
	a.lanes[l.class] = slices.Insert(a.lanes[l.class], a.place(l), l)
}

// leave takes a lane out of the account's order.
func (a *account) leave(l *lane) {
	i := a.place(l)
	a.lanes[l.class] = slices.Delete(a.lanes[l.class], i, i+1)
	if i < a.next {
		a.next--
	}
}

// enqueue puts a task into its lane. A task that comes back goes to its place
// by arrival.
func (q *Queuer) enqueue(w *waiting) {
	key := keyOf(w.Task)
	l := q.lanes[key]
	if l == nil {
		l = q.newLane(key)
	}
	w.lane = l
	w.stage = inLane
	empty := l.live == 0
	l.live++
	if !empty && w.seq > l.first().seq {
		l.tasks = append(l.tasks, w)
		q.wake(l)
		return
	}
	if !empty {
		l.account.leave(l)
	}
	l.tasks = slices.Insert(l.tasks, l.head, w)
	q.stand(l)
	q.wake(l)
}

// wake makes the next pass try a lane whose state changed. Another task
// behind a head that found no room changes nothing.
func (q *Queuer) wake(l *lane) {
	_, gang := l.gang()
	if l.live == 1 || gang {
		l.block = untried
		q.recheck = true
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

// dequeue takes a task out of its lane.
func (q *Queuer) dequeue(w *waiting, to stage) {
	l := w.lane
	wasFirst := l.first() == w
	w.stage = to
	l.live--
	if !wasFirst {
		l.compact()
		return
	}
	l.account.leave(l)
	l.blockedSince = 0
	if l.block == byCapacity {
		l.blockedSince = q.now
	}
	if l.live == 0 {
		q.closeLane(l)
		return
	}
	l.compact()
	q.stand(l)
}

func (q *Queuer) closeLane(l *lane) {
	delete(q.lanes, l.key)
	l.team.lanes[l.class]--
	if l.team.saving == l {
		l.team.saving = nil
		q.freedAllotment(l.team)
	}
}
