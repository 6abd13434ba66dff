package scheduler

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// departureGrace is how long a departing upstream may still get new tasks.
const departureGrace = 2 * time.Second

// invariant is the number of a property that must always hold.
type invariant int

const (
	// capacity: the tasks of an upstream need no more than its capacity.
	capacity invariant = iota + 1
	// singleRun: a request has at most one active run.
	singleRun
	// keyedTeam: a task is charged to the team of its request.
	keyedTeam
	// upperLimit: the tasks of a team need no more than its limit.
	upperLimit
	// ownAnswer: a caller gets the answer of its own request, which ran.
	ownAnswer
	// correctNotRun: a request with the outcome NotRun has not run and never will.
	correctNotRun
	// atMostOnce: a request that isn't repeatable runs at most once.
	atMostOnce
	// departure: a departing upstream gets no new tasks.
	departure
	// gracefulShutdown: a graceful shutdown interrupts no request.
	gracefulShutdown
	// noRevert: the configuration version of an instance never decreases.
	noRevert
)

// observer records which tasks the upstreams run and which outcomes the callers get,
// and collects the violations of each invariant. It isn't part of the tested system.
type observer struct {
	mu         sync.Mutex
	limits     map[unit.Team]unit.Resources
	requests   map[unit.Request]*observedRequest
	runs       []*observedRun
	departed   map[unit.Upstream]time.Time
	versions   map[unit.Instance]unit.Version
	violations map[invariant][]string
	// graceful is set if the only fault is a graceful shutdown, so that every
	// request must end as Done.
	graceful bool
	// lastStart and longestGap measure the time without a start in zone a.
	lastStart  time.Time
	longestGap time.Duration
}

// observedRequest is what the observer knows of a request.
type observedRequest struct {
	dispatcher.Request
	sentAt time.Time
	runs   int
	// notRunAt is when a caller last got a NotRun.
	notRunAt time.Time
}

// observedRun is one run of a task.
type observedRun struct {
	request   unit.Request
	upstream  *fakeUpstream
	run       *fakeRun
	startedAt time.Time
	ended     bool
}

func newObserver() *observer {
	return &observer{
		limits:     map[unit.Team]unit.Resources{},
		requests:   map[unit.Request]*observedRequest{},
		departed:   map[unit.Upstream]time.Time{},
		versions:   map[unit.Instance]unit.Version{},
		violations: map[invariant][]string{},
	}
}

// violate adds a violation. The caller holds o.mu.
func (o *observer) violate(i invariant, format string, args ...any) {
	o.violations[i] = append(o.violations[i], fmt.Sprintf(format, args...))
}

// recordSubmission records that a caller sends a request.
func (o *observer) recordSubmission(r dispatcher.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[r.ID]
	if q == nil {
		q = &observedRequest{Request: r}
		o.requests[r.ID] = q
	}
	q.sentAt = time.Now()
}

// isActive reports whether a run may have an effect now. It has none once its lease
// has expired: an upstream that was frozen checks the lease before it continues.
func (r *observedRun) isActive() bool {
	return !r.ended && int64(r.upstream.sim.trueTime()) < r.run.leaseUntil.Load()
}

// recordOrder records a start order, whether or not its upstream executes it.
func (o *observer) recordOrder(u *fakeUpstream, order dispatcher.StartOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, departing := o.departed[u.id]; departing && time.Since(at) > departureGrace {
		o.violate(departure, "start of %s was sent to %s, which has been departing for %v", order.Request, u.id, time.Since(at))
	}
}

// recordStart records the start of a run. The caller holds the upstream's lock.
func (o *observer) recordStart(u *fakeUpstream, run *fakeRun) *observedRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	order := run.order
	n := &observedRun{request: order.Request, upstream: u, run: run, startedAt: time.Now()}
	q := o.requests[order.Request]
	if q == nil {
		o.violate(ownAnswer, "%s was started but never submitted", order.Request)
		q = &observedRequest{}
	}
	q.runs++
	if q.runs > 1 && !q.Repeatable {
		o.violate(atMostOnce, "%s isn't repeatable and is started %d times", order.Request, q.runs)
	}
	if order.Team != q.Team {
		o.violate(keyedTeam, "%s of team %s is charged to team %s", order.Request, q.Team, order.Team)
	}
	o.checkRunning(n)
	o.runs = append(o.runs, n)
	if u.zone == "a" {
		if !o.lastStart.IsZero() {
			o.longestGap = max(o.longestGap, time.Since(o.lastStart))
		}
		o.lastStart = time.Now()
	}
	return n
}

// checkRunning checks a new run against the active ones. The caller holds o.mu.
func (o *observer) checkRunning(n *observedRun) {
	order := n.run.order
	onUpstream, ofTeam := order.Need, order.Need
	for _, r := range o.runs {
		if !r.isActive() {
			continue
		}
		if r.request == n.request {
			o.violate(singleRun, "%s starts on %s while it runs on %s", n.request, n.upstream.id, r.upstream.id)
		}
		if r.upstream == n.upstream {
			onUpstream = onUpstream.Add(r.run.order.Need)
		}
		if r.run.order.Team == order.Team {
			ofTeam = ofTeam.Add(r.run.order.Need)
		}
	}
	if !onUpstream.Fits(n.upstream.capacity) {
		o.violate(capacity, "%s has capacity %+v and its tasks need %+v", n.upstream.id, n.upstream.capacity, onUpstream)
	}
	if limit, limited := o.limits[order.Team]; limited && !ofTeam.Fits(limit) {
		o.violate(upperLimit, "tasks of team %s need %+v, above its limit of %+v", order.Team, ofTeam, limit)
	}
}

func (o *observer) recordEnd(r *observedRun) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.ended = true
}

func (o *observer) recordDeparture(u unit.Upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.departed[u] = time.Now()
}

// recordOutcome records and checks the outcome that a caller got.
func (o *observer) recordOutcome(id unit.Request, outcome dispatcher.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.requests[id]
	switch outcome := outcome.(type) {
	case dispatcher.Done:
		if !bytes.Equal(outcome.Answer, answerOf(id)) {
			o.violate(ownAnswer, "the caller of %s got the answer %q", id, outcome.Answer)
		}
		if q.runs == 0 {
			o.violate(ownAnswer, "%s is Done but never ran", id)
		}
	case dispatcher.NotRun:
		q.notRunAt = time.Now()
		if q.runs > 0 {
			o.violate(correctNotRun, "%s is NotRun (%s) but ran", id, outcome.Reason)
		}
	case dispatcher.Unknown:
	default:
		o.violate(ownAnswer, "the caller of %s got no outcome", id)
	}
	if _, done := outcome.(dispatcher.Done); !done && o.graceful {
		o.violate(gracefulShutdown, "%s ended as %T %+v, though the only fault was a graceful shutdown", id, outcome, outcome)
	}
}

// checkLateStarts checks, at the end of a simulation, that no request was started
// after a caller got a NotRun, unless the request was sent again.
func (o *observer) checkLateStarts() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.runs {
		q := o.requests[r.request]
		if q != nil && !q.notRunAt.IsZero() && r.startedAt.After(q.notRunAt) && q.sentAt.Before(q.notRunAt) {
			o.violate(correctNotRun, "%s ran after its caller got NotRun", r.request)
		}
	}
}

// checkCommand checks that a committed command doesn't record a NotRun for a request
// that ran.
func (o *observer) checkCommand(c registrar.Command, result registrar.Result) {
	end, isEnd := c.(registrar.EndRequest)
	registered, ok := result.(registrar.RequestRecorded)
	if !isEnd || !ok || registered.Record.Open() {
		return
	}
	outcome, err := dispatcher.UnmarshalOutcome(registered.Record.Outcome)
	if _, notRun := outcome.(dispatcher.NotRun); err != nil || !notRun {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.requests[end.Request]; q != nil && q.runs > 0 {
		o.violate(correctNotRun, "%s is recorded as NotRun but ran", end.Request)
	}
}

// checkVersion checks that the configuration version of an instance never decreases.
func (o *observer) checkVersion(_ *testing.T, n *node) {
	_, version := n.state.Config()
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < o.versions[n.name] && n.state.AppliedIndex() > 0 && n.applied > 0 && version > 0 {
		o.violate(noRevert, "%s went from version %d to %d", n.name, o.versions[n.name], version)
	}
	o.versions[n.name] = max(o.versions[n.name], version)
}

// setLimit sets the limit that the observer enforces for a team.
func (o *observer) setLimit(team unit.Team, limit unit.Resources) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits[team] = limit
}

// runCount returns how often a request was started.
func (o *observer) runCount(id unit.Request) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q := o.requests[id]; q != nil {
		return q.runs
	}
	return 0
}

// allViolations returns all violations, each with the number of its invariant.
func (o *observer) allViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []string
	for i := capacity; i <= noRevert; i++ {
		for _, v := range o.violations[i] {
			all = append(all, fmt.Sprintf("point %d: %s", i, v))
		}
	}
	return all
}
