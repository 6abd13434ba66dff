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
type textWork struct {
	pieces []piece
	// accepted counts the pieces from the first on that the log holds.
	accepted  int
	accepting map[unit.Request]bool
	slots     map[unit.Request]*slot
	// sweep says that pieces or slots may have left the text.
	sweep bool
	// ready holds the services that were seen running here and whose readiness
	// isn't in the log.
	ready    map[parser.WorkloadKey]bool
	progress map[unit.Workload]*progress
}

// piece is a batch task or a job at home in this zone.
type piece struct {
	id         unit.Request
	team       unit.Team
	repeatable bool
	data       string
}

// slot is one task of a service that this zone keeps running.
type slot struct {
	id     unit.Request
	team   unit.Team
	data   string
	wanted bool
	// live is the request in progress; empty while there is none.
	live      unit.Request
	restartAt clock.Millis
	failures  int
}

// progress is how far a work has come that others depend on.
type progress struct {
	key     parser.WorkloadKey
	pieces  []string
	done    int
	settled bool
}

// Backoff of a service's task that ends.
const (
	firstRestart = 500 * clock.Millisecond
	lastRestart  = 30 * clock.Second
)

// readyPiece names the record of a service's readiness.
const readyPiece = "ready"

// plan takes a new configuration.
func (w *textWork) plan(c parser.Config, az unit.AvailabilityZone) {
	if w.slots == nil {
		w.slots = map[unit.Request]*slot{}
		w.accepting = map[unit.Request]bool{}
		w.ready = map[parser.WorkloadKey]bool{}
	}
	w.pieces, w.accepted, w.sweep = nil, 0, true
	for _, s := range w.slots {
		s.wanted = false
	}
	for _, s := range c.Services {
		w.planService(c, s, az)
	}
	for _, b := range c.Batches {
		for _, name := range numbered(b.Count) {
			w.planPiece(c, az, piece{id: b.Key().RequestID(name), team: b.Team, repeatable: b.Repeatable, data: b.Data})
		}
	}
	for _, j := range c.Jobs {
		w.planPiece(c, az, piece{id: j.Key().RequestID("0"), team: j.Team, repeatable: j.Repeatable, data: j.Data})
	}
	w.planProgress(c)
}

func (w *textWork) planService(c parser.Config, s parser.Service, az unit.AvailabilityZone) {
	for _, n := range numbered(c.ServiceTasksIn(s, az)) {
		id := s.Key().RequestID(string(az) + "." + n)
		if w.slots[id] == nil {
			w.slots[id] = &slot{id: id}
		}
		w.slots[id].team, w.slots[id].data, w.slots[id].wanted = s.Team, s.Data, true
	}
}

func (w *textWork) planPiece(c parser.Config, az unit.AvailabilityZone, p piece) {
	if home, ok := c.LiveHomeZone(string(p.id)); ok && home == az {
		w.pieces = append(w.pieces, p)
	}
}

// planProgress begins to watch the works that others depend on.
func (w *textWork) planProgress(c parser.Config) {
	w.progress = map[unit.Workload]*progress{}
	for _, s := range c.Services {
		w.progress[s.Name] = &progress{key: s.Key(), pieces: []string{readyPiece}}
	}
	for _, b := range c.Batches {
		w.progress[b.Name] = &progress{key: b.Key(), pieces: numbered(b.Count)}
	}
	for _, j := range c.Jobs {
		w.progress[j.Name] = &progress{key: j.Key(), pieces: []string{"0"}}
	}
	needed := map[unit.Workload]bool{}
	for _, s := range workSpecs(c) {
		for _, after := range s.after {
			needed[after] = true
		}
	}
	for name := range w.progress {
		if !needed[name] {
			delete(w.progress, name)
		}
	}
}

func numbered(n int) []string {
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
func (w *textWork) found(id unit.Request) (surplus bool) {
	of, is := slotOf(id)
	if !is {
		return false
	}
	if key, isWork := parser.WorkloadKeyOf(id); isWork {
		w.ready[key] = true
	}
	s := w.slots[of]
	if s == nil {
		s = &slot{id: of}
		w.slots[of] = s
		w.sweep = true
	}
	if s.live == "" {
		s.live = id
	}
	return s.live != id
}

// ended notes the end of a service's request.
func (w *textWork) ended(now clock.Millis, id unit.Request, o dispatcher.Outcome) {
	of, _ := slotOf(id)
	s := w.slots[of]
	if s == nil || s.live != id {
		return
	}
	s.live = ""
	s.failures++
	if done, is := o.(dispatcher.Done); is && !done.Failed {
		s.failures = 1
	}
	s.restartAt = now + min(firstRestart<<min(s.failures-1, 10), lastRestart)
}
