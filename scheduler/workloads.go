package scheduler

import (
	"strconv"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// textWork is what this zone runs of the operator's text.
//
// Batch tasks and jobs are pieces: each is accepted in the log once, by the
// scheduler of its home, and then runs as any accepted request does, so its
// end is kept and the next scheduler goes on with it. A service has slots,
// which have no end: a slot whose task ended is started again under a new
// request. Slots aren't in the log; a new scheduler finds the running ones by
// the upstreams' reports.
type workloads struct {
	requests []workloadRequest
	// accepted counts the pieces from the first on that the log holds.
	acceptedCount int
	proposing     map[unit.Request]bool
	slots         map[unit.Request]*slot
	// sweep says that pieces or slots may have left the text.
	removalDue bool
	// ready holds the services that were seen running here and whose readiness
	// isn't in the log.
	readyServices map[parser.WorkloadKey]bool
	dependencies  map[unit.Workload]*dependency
}

// piece is a batch task or a job at home in this zone.
type workloadRequest struct {
	id         unit.Request
	team       unit.Team
	repeatable bool
	data       string
}

// slot is one task of a service that this zone keeps running.
type slot struct {
	id      unit.Request
	team    unit.Team
	data    string
	desired bool
	// live is the request in progress; empty while there is none.
	current   unit.Request
	restartAt clock.Millis
	failures  int
}

// progress is how far a work has come that others depend on.
type dependency struct {
	key          parser.WorkloadKey
	requestNames []string
	doneCount    int
	resolved     bool
}

// Backoff of a service's task that ends.
const (
	minRestartDelay = 500 * clock.Millisecond
	maxRestartDelay = 30 * clock.Second
)

// readyPiece names the record of a service's readiness.
const readyRequestName = "ready"

// plan takes a new configuration.
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

func (w *workloads) configureService(c parser.Config, s parser.Service, az unit.AvailabilityZone) {
	for _, n := range indexNames(c.ServiceTasksIn(s, az)) {
		id := s.Key().RequestID(string(az) + "." + n)
		if w.slots[id] == nil {
			w.slots[id] = &slot{id: id}
		}
		w.slots[id].team, w.slots[id].data, w.slots[id].desired = s.Team, s.Data, true
	}
}

func (w *workloads) addRequest(c parser.Config, az unit.AvailabilityZone, p workloadRequest) {
	if home, ok := c.LiveHomeZone(string(p.id)); ok && home == az {
		w.requests = append(w.requests, p)
	}
}

// planProgress begins to watch the works that others depend on.
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
		for _, after := range s.dependsOn {
			needed[after] = true
		}
	}
	for name := range w.dependencies {
		if !needed[name] {
			delete(w.dependencies, name)
		}
	}
}

func indexNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

// slotOf returns the slot that a service's request belongs to. The requests of
// a slot have its id, a "#" and what tells them apart.
func slotOf(id unit.Request) (of unit.Request, is bool) {
	if _, isWork := parser.WorkloadKeyOf(id); !isWork {
		return "", false
	}
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '#' {
			return id[:i], true
		}
	}
	return "", false
}

// found notes a service's request that an upstream runs. It reports true if
// another one of the same slot is in progress, or the slot isn't wanted: then
// this one must stop.
func (w *workloads) recordRunning(id unit.Request) (surplus bool) {
	of, is := slotOf(id)
	if !is {
		return false
	}
	if key, isWork := parser.WorkloadKeyOf(id); isWork {
		w.readyServices[key] = true
	}
	s := w.slots[of]
	if s == nil {
		s = &slot{id: of}
		w.slots[of] = s
		w.removalDue = true
	}
	if s.current == "" {
		s.current = id
	}
	return s.current != id
}

// ended notes the end of a service's request.
func (w *workloads) recordEnd(now clock.Millis, id unit.Request, o dispatcher.Outcome) {
	of, _ := slotOf(id)
	s := w.slots[of]
	if s == nil || s.current != id {
		return
	}
	s.current = ""
	s.failures++
	if done, is := o.(dispatcher.Done); is && !done.Failed {
		s.failures = 1
	}
	s.restartAt = now + min(minRestartDelay<<min(s.failures-1, 10), maxRestartDelay)
}
