package queuer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// tick is the step of virtual time; stopTakes is how long a fake task takes
// to write its checkpoint.
const (
	tick      = 10 * clock.Millisecond
	stopTakes = 300 * clock.Millisecond
	// failsAfter is how soon a faulty upstream fails what it was given.
	failsAfter = 100 * clock.Millisecond
)

// job is what a fake task really is.
type job struct {
	placer.Task
	runs    clock.Millis
	uses    unit.Resources
	added   clock.Millis
	on      unit.Upstream
	started clock.Millis
	running bool
	retries int
}

// event is the end of a task, unless it was stopped before.
type event struct {
	at  clock.Millis
	job *job
	end TaskOutcome
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world drives a queuer in virtual time with fakes that end tasks.
type world struct {
	q      *Queuer
	now    clock.Millis
	rng    *rand.Rand
	jobs   map[unit.Task]*job
	ends   events
	ids    int
	faulty map[unit.Upstream]bool
	// failing makes the work whose name starts with "bad" fail everywhere.
	failing bool
	usages  [2][]*job

	urgentWaits, waits []clock.Millis
	preemptions        int
	failures           int
	onFaulty           int
	overused           int
	starts             int
	decisions          int
	perDecision        []time.Duration
	took               time.Duration
}

func newWorld(config Config, seed uint64) *world {
	return &world{
		q:      New(config),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		jobs:   map[unit.Task]*job{},
		faulty: map[unit.Upstream]bool{},
	}
}

func (w *world) workers(n int, holds unit.Resources) {
	for i := range n {
		w.q.SetUpstream(w.now, placer.Upstream{
			ID:       unit.Upstream(fmt.Sprintf("u%04d", i)),
			Rack:     unit.Rack(fmt.Sprintf("r%03d", i/6)),
			Capacity: holds,
		})
	}
}

// add submits a job; its task id is made here.
func (w *world) add(j job) *job {
	w.ids++
	j.ID = unit.Task(fmt.Sprintf("t%07d", w.ids))
	j.added = w.now
	if j.uses.IsZero() {
		j.uses = j.Need
	}
	added := &j
	if w.q.Add(w.now, j.Task) == nil {
		w.jobs[j.ID] = added
	}
	return added
}

// advance runs the world for a span of time.
func (w *world) advance(span clock.Millis, arrive func()) {
	for until := w.now + span; w.now < until; w.now += tick {
		if arrive != nil {
			arrive()
		}
		w.endTasks()
		w.reportUsage()
		w.decide()
	}
}

func (w *world) endTasks() {
	for len(w.ends) > 0 && w.ends[0].at <= w.now {
		e := heap.Pop(&w.ends).(event)
		if !e.job.running {
			continue
		}
		e.job.running = false
		delete(w.jobs, e.job.ID)
		begin := time.Now()
		w.q.FinishTask(w.now, e.job.ID, e.end)
		w.took += time.Since(begin)
		w.again(e)
	}
}

// again submits what is left of a stopped or failed task, as the scheduler
// does.
func (w *world) again(e event) {
	next := *e.job
	switch e.end.(type) {
	case Stopped:
		if b, is := next.Kind.(placer.Batch); is && b.Checkpoints {
			next.runs = max(tick, next.runs-(w.now-stopTakes-next.started))
		}
	case Failed:
		w.failures++
		next.retries++
		if !next.Repeatable || next.retries > 50 {
			return
		}
	default:
		return
	}
	added := w.add(next)
	added.added = w.now
}

// reportUsage tells the use of each running task after one second, and again
// after eleven.
func (w *world) reportUsage() {
	w.usages[0] = w.reportDue(w.usages[0], clock.Second)
	w.usages[1] = w.reportDue(w.usages[1], 11*clock.Second)
}

func (w *world) reportDue(due []*job, after clock.Millis) []*job {
	for len(due) > 0 && w.now >= due[0].started+after {
		if j := due[0]; j.running {
			w.q.RecordUsage(j.ID, j.uses)
		}
		due = due[1:]
	}
	return due
}

func (w *world) decide() {
	for {
		begin := time.Now()
		out := w.q.Decide(w.now, 1000)
		took := time.Since(begin)
		w.took += took
		if len(out) == 0 {
			return
		}
		w.decisions += len(out)
		w.perDecision = append(w.perDecision, took/time.Duration(len(out)))
		for _, d := range out {
			w.carryOut(d)
		}
	}
}

func (w *world) carryOut(d Decision) {
	switch d := d.(type) {
	case Start:
		w.start(w.jobs[d.Task], d.Upstream)
	case Preempt:
		w.preemptions++
		heap.Push(&w.ends, event{at: w.now + stopTakes, job: w.jobs[d.Task], end: Stopped{Checkpointed: true}})
	case Reject:
		delete(w.jobs, d.Task)
	}
}

func (w *world) start(j *job, on unit.Upstream) {
	j.running, j.on, j.started = true, on, w.now
	w.starts++
	wait := w.now - j.added
	if j.Urgent {
		w.urgentWaits = append(w.urgentWaits, wait)
	} else {
		w.waits = append(w.waits, wait)
	}
	w.usages[0] = append(w.usages[0], j)
	w.usages[1] = append(w.usages[1], j)
	if w.failing && strings.HasPrefix(string(j.Workload), "bad") {
		heap.Push(&w.ends, event{at: w.now + failsAfter, job: j, end: Failed{}})
		return
	}
	if w.faulty[on] {
		w.onFaulty++
		heap.Push(&w.ends, event{at: w.now + failsAfter, job: j, end: Failed{}})
		return
	}
	heap.Push(&w.ends, event{at: w.now + j.runs, job: j, end: Succeeded{}})
}

// used is what the running tasks really use, by upstream.
func (w *world) used() map[unit.Upstream]unit.Resources {
	used := map[unit.Upstream]unit.Resources{}
	for _, j := range w.jobs {
		if j.running {
			used[j.on] = used[j.on].Add(j.uses)
		}
	}
	return used
}

func percentile[T ~int64](values []T, p float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}
