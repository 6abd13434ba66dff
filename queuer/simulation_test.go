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

const (
	// tick is the step of virtual time.
	tick = 10 * clock.Millisecond
	// stopTime is how long a task takes to write its checkpoint and stop.
	stopTime = 300 * clock.Millisecond
	// failureDelay is how long a task runs on a faulty upstream before it fails.
	failureDelay = 100 * clock.Millisecond
)

// job is a task with its actual run time and usage.
type job struct {
	placer.Task
	// actualRunTime is how long the task still has to run when it starts.
	actualRunTime clock.Millis
	actualUsage   unit.Resources
	submittedAt   clock.Millis
	upstream      unit.Upstream
	started       clock.Millis
	running       bool
	retries       int
}

// event is the end of a task, unless the task has ended before.
type event struct {
	at      clock.Millis
	job     *job
	outcome TaskOutcome
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

// simulation runs a queuer in virtual time and carries out its decisions with
// simulated tasks.
type simulation struct {
	q      *Queuer
	now    clock.Millis
	rng    *rand.Rand
	jobs   map[unit.Task]*job
	ends   events
	lastID int
	faulty map[unit.Upstream]bool
	// failing makes tasks of workloads whose name starts with "bad" fail on
	// every upstream.
	failing bool
	// usageReports lists the jobs whose usage is reported after 1 and after 11
	// seconds, in the order of their starts.
	usageReports [2][]*job

	urgentWaitTimes, waitTimes []clock.Millis
	preemptions                int
	failures                   int
	startsOnFaulty             int
	overused                   int
	starts                     int
	decisions                  int
	perDecision                []time.Duration
	elapsed                    time.Duration
}

func newSimulation(config Config, seed uint64) *simulation {
	return &simulation{
		q:      New(config),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		jobs:   map[unit.Task]*job{},
		faulty: map[unit.Upstream]bool{},
	}
}

func (s *simulation) addUpstreams(n int, capacity unit.Resources) {
	for i := range n {
		s.q.SetUpstream(s.now, placer.Upstream{
			ID:       unit.Upstream(fmt.Sprintf("u%04d", i)),
			Rack:     unit.Rack(fmt.Sprintf("r%03d", i/6)),
			Capacity: capacity,
		})
	}
}

// add submits a job under a new task ID.
func (s *simulation) add(j job) *job {
	s.lastID++
	j.ID = unit.Task(fmt.Sprintf("t%07d", s.lastID))
	j.submittedAt = s.now
	if j.actualUsage.IsZero() {
		j.actualUsage = j.Need
	}
	added := &j
	if s.q.Add(s.now, j.Task) == nil {
		s.jobs[j.ID] = added
	}
	return added
}

// advance runs the simulation for a span of time. It calls arrive in each tick,
// if it isn't nil.
func (s *simulation) advance(span clock.Millis, arrive func()) {
	for until := s.now + span; s.now < until; s.now += tick {
		if arrive != nil {
			arrive()
		}
		s.endTasks()
		s.reportUsage()
		s.decide()
	}
}

func (s *simulation) endTasks() {
	for len(s.ends) > 0 && s.ends[0].at <= s.now {
		ended := heap.Pop(&s.ends).(event)
		if !ended.job.running {
			continue
		}
		ended.job.running = false
		delete(s.jobs, ended.job.ID)
		begin := time.Now()
		s.q.FinishTask(s.now, ended.job.ID, ended.outcome)
		s.elapsed += time.Since(begin)
		s.resubmit(ended)
	}
}

// resubmit submits what remains of a stopped or failed task, as the scheduler
// does.
func (s *simulation) resubmit(ended event) {
	next := *ended.job
	switch ended.outcome.(type) {
	case Stopped:
		if b, ok := next.Kind.(placer.Batch); ok && b.Checkpoints {
			next.actualRunTime = max(tick, next.actualRunTime-(s.now-stopTime-next.started))
		}
	case Failed:
		s.failures++
		next.retries++
		if !next.Repeatable || next.retries > 50 {
			return
		}
	default:
		return
	}
	added := s.add(next)
	added.submittedAt = s.now
}

// reportUsage reports the usage of each running task after 1 second, and again
// after 11 seconds.
func (s *simulation) reportUsage() {
	s.usageReports[0] = s.reportDue(s.usageReports[0], clock.Second)
	s.usageReports[1] = s.reportDue(s.usageReports[1], 11*clock.Second)
}

func (s *simulation) reportDue(jobs []*job, after clock.Millis) []*job {
	for len(jobs) > 0 && s.now >= jobs[0].started+after {
		if j := jobs[0]; j.running {
			s.q.RecordUsage(j.ID, j.actualUsage)
		}
		jobs = jobs[1:]
	}
	return jobs
}

func (s *simulation) decide() {
	for {
		begin := time.Now()
		decisions := s.q.Decide(s.now, 1000)
		elapsed := time.Since(begin)
		s.elapsed += elapsed
		if len(decisions) == 0 {
			return
		}
		s.decisions += len(decisions)
		s.perDecision = append(s.perDecision, elapsed/time.Duration(len(decisions)))
		for _, d := range decisions {
			s.apply(d)
		}
	}
}

func (s *simulation) apply(d Decision) {
	switch d := d.(type) {
	case Start:
		s.start(s.jobs[d.Task], d.Upstream)
	case Preempt:
		s.preemptions++
		heap.Push(&s.ends, event{at: s.now + stopTime, job: s.jobs[d.Task], outcome: Stopped{Checkpointed: true}})
	case Reject:
		delete(s.jobs, d.Task)
	}
}

func (s *simulation) start(j *job, upstream unit.Upstream) {
	j.running, j.upstream, j.started = true, upstream, s.now
	s.starts++
	wait := s.now - j.submittedAt
	if j.Urgent {
		s.urgentWaitTimes = append(s.urgentWaitTimes, wait)
	} else {
		s.waitTimes = append(s.waitTimes, wait)
	}
	s.usageReports[0] = append(s.usageReports[0], j)
	s.usageReports[1] = append(s.usageReports[1], j)
	if s.failing && strings.HasPrefix(string(j.Workload), "bad") {
		heap.Push(&s.ends, event{at: s.now + failureDelay, job: j, outcome: Failed{}})
		return
	}
	if s.faulty[upstream] {
		s.startsOnFaulty++
		heap.Push(&s.ends, event{at: s.now + failureDelay, job: j, outcome: Failed{}})
		return
	}
	heap.Push(&s.ends, event{at: s.now + j.actualRunTime, job: j, outcome: Succeeded{}})
}

// usageByUpstream returns the actual usage of the running tasks.
func (s *simulation) usageByUpstream() map[unit.Upstream]unit.Resources {
	used := map[unit.Upstream]unit.Resources{}
	for _, j := range s.jobs {
		if j.running {
			used[j.upstream] = used[j.upstream].Add(j.actualUsage)
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
