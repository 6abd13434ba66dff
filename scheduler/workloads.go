package scheduler

import (
	"strconv"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// workloads tracks the configured workloads that run in this zone.
//
// Each batch task and each job is one request. The scheduler of its home zone
// proposes its acceptance to the log. From then on it is handled as any accepted
// request: its outcome is recorded, and the next scheduler continues with it. A
// service has slots, which never end: when the task of a slot ends, the slot
// starts another one under a new request. Slots aren't in the log. A new
// scheduler finds the running ones in the reports of the upstreams.
type workloads struct {
	// requests are the requests of batches and jobs whose home is this zone.
	requests []workloadRequest
	// acceptedCount is the length of the prefix of requests that the log holds.
	acceptedCount int
	// proposing holds the requests whose acceptance or readiness is being
	// proposed.
	proposing map[unit.Request]bool
	slots     map[unit.Request]*slot
	// removalDue is set when the configuration may no longer contain some of the
	// open requests or slots.
	removalDue bool
	// readyServices holds the services that run here and whose readiness may not
	// be in the log yet.
	readyServices map[parser.WorkloadKey]bool
	// dependencies holds the workloads that other workloads depend on.
	dependencies map[unit.Workload]*dependency
}

// workloadRequest is the request of a batch task or a job.
type workloadRequest struct {
	id         unit.Request
	team       unit.Team
	repeatable bool
	data       string
}

// slot is the place of one task of a service, which this zone keeps running.
type slot struct {
	id   unit.Request
	team unit.Team
	data string
	// desired is set while the configuration contains the slot.
	desired bool
	// current is the request in progress; empty if there is none.
	current unit.Request
	// restartAt is the earliest time for the next request.
	restartAt clock.Millis
	// failures counts consecutive failures. A success sets it to 1.
	failures int
}

// dependency is a workload that other workloads depend on.
type dependency struct {
	key parser.WorkloadKey
	// requestNames name the requests that must all be done, and doneCount is the
	// length of the prefix that is known to be.
	requestNames []string
	doneCount    int
	// resolved is set once the queue knows whether the workload succeeded.
	resolved bool
}

// Delays before a slot whose task has ended starts the next one. The delay doubles
// with each failure.
const (
	minRestartDelay = 500 * clock.Millisecond
	maxRestartDelay = 30 * clock.Second
)

// readyRequestName is the name of the request that records a service's readiness.
const readyRequestName = "ready"

// configure applies a new configuration.
func (w *workloads) configure(c parser.Config, az unit.AvailabilityZone) {
	if w.slots == nil {
		w.slots = map[unit.Request]*slot{}
		w.proposing = map[unit.Request]bool{}
		w.readyServices = map[parser.WorkloadKey]bool{}
	}
	w.requests, w.acceptedCount, w.removalDue = nil, 0, true
	for _, s := range w.slots {
		s.desired = false
	}
	for _, s := range c.Services {
		w.configureService(c, s, az)
	}
	for _, b := range c.Batches {
		for _, name := range indexNames(b.Count) {
			w.addRequest(c, az, workloadRequest{id: b.Key().RequestID(name), team: b.Team, repeatable: b.Repeatable, data: b.Data})
		}
	}
	for _, j := range c.Jobs {
		w.addRequest(c, az, workloadRequest{id: j.Key().RequestID("0"), team: j.Team, repeatable: j.Repeatable, data: j.Data})
	}
	w.trackDependencies(c)
}

// configureService creates or updates the slots of a service in this zone.
func (w *workloads) configureService(c parser.Config, s parser.Service, az unit.AvailabilityZone) {
	for _, n := range indexNames(c.ServiceTasksIn(s, az)) {
		id := s.Key().RequestID(string(az) + "." + n)
		if w.slots[id] == nil {
			w.slots[id] = &slot{id: id}
		}
		w.slots[id].team, w.slots[id].data, w.slots[id].desired = s.Team, s.Data, true
	}
}

// addRequest adds a request if its home is this zone.
func (w *workloads) addRequest(c parser.Config, az unit.AvailabilityZone, r workloadRequest) {
	if home, ok := c.LiveHomeZone(string(r.id)); ok && home == az {
		w.requests = append(w.requests, r)
	}
}

// trackDependencies rebuilds dependencies from the configuration.
func (w *workloads) trackDependencies(c parser.Config) {
	w.dependencies = map[unit.Workload]*dependency{}
	for _, s := range c.Services {
		w.dependencies[s.Name] = &dependency{key: s.Key(), requestNames: []string{readyRequestName}}
	}
	for _, b := range c.Batches {
		w.dependencies[b.Name] = &dependency{key: b.Key(), requestNames: indexNames(b.Count)}
	}
	for _, j := range c.Jobs {
		w.dependencies[j.Name] = &dependency{key: j.Key(), requestNames: []string{"0"}}
	}
	needed := map[unit.Workload]bool{}
	for _, s := range workloadSpecs(c) {
		for _, name := range s.dependsOn {
			needed[name] = true
		}
	}
	for name := range w.dependencies {
		if !needed[name] {
			delete(w.dependencies, name)
		}
	}
}

// indexNames returns the decimal numbers from 0 to n-1.
func indexNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

// slotOf returns the id of the slot that a service's request belongs to. ok is
// false if the request belongs to none. The id of such a request is the slot's id,
// a "#" and a unique suffix.
func slotOf(id unit.Request) (slotID unit.Request, ok bool) {
	if _, isWorkload := parser.WorkloadKeyOf(id); !isWorkload {
		return "", false
	}
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '#' {
			return id[:i], true
		}
	}
	return "", false
}

// recordRunning records that an upstream runs a request. It reports whether the
// request must be stopped, since its slot has another request in progress. It
// does nothing if the request isn't a service's. A slot that isn't configured
// here is created and left to cancelRemoved.
func (w *workloads) recordRunning(id unit.Request) (duplicate bool) {
	slotID, ok := slotOf(id)
	if !ok {
		return false
	}
	if key, isWorkload := parser.WorkloadKeyOf(id); isWorkload {
		w.readyServices[key] = true
	}
	s := w.slots[slotID]
	if s == nil {
		s = &slot{id: slotID}
		w.slots[slotID] = s
		w.removalDue = true
	}
	if s.current == "" {
		s.current = id
	}
	return s.current != id
}

// recordEnd records the end of a request and schedules the restart of its slot. It
// does nothing if the request isn't the current one of a slot.
func (w *workloads) recordEnd(now clock.Millis, id unit.Request, o dispatcher.Outcome) {
	slotID, _ := slotOf(id)
	s := w.slots[slotID]
	if s == nil || s.current != id {
		return
	}
	s.current = ""
	s.failures++
	if done, ok := o.(dispatcher.Done); ok && !done.Failed {
		s.failures = 1
	}
	s.restartAt = now + min(minRestartDelay<<min(s.failures-1, 10), maxRestartDelay)
}
