package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// textOf is a text with a service, batch work after it, and a job after that.
func textOf(service int, rest bool) []byte {
	text := "AvailabilityZones: [{Name: a}, {Name: b}]\nTeams: [{Name: prelo, Share: 1}]\n"
	if service > 0 {
		text += fmt.Sprintf("Services: [{Name: web, Team: prelo, Count: %d, Need: {CPU: 500m}, Data: \"86400000\"}]\n", service)
	}
	if rest {
		text += `Batches: [{Name: nightly, Team: prelo, Count: 5, Need: {CPU: 1}, Data: "1000", After: [web]}]
Jobs:
  - {Name: proof, Team: prelo, Tasks: 3, Need: {CPU: 1}, Data: "500", After: [nightly]}
  - {Name: huge, Team: prelo, Tasks: 1, Need: {CPU: 400}, Data: "500"}
  - {Name: follower, Team: prelo, Tasks: 1, Need: {CPU: 1}, Data: "500", After: [huge]}
`
	}
	return []byte(text)
}

// span is when a run of a work began and, if it has, ended.
type span struct {
	request    unit.Request
	begun      time.Time
	active     bool
	onUpstream unit.Upstream
}

// runsOf returns the observed runs of a work.
func (o *observer) runsOf(work string) []span {
	o.mu.Lock()
	defer o.mu.Unlock()
	var spans []span
	for _, r := range o.runs {
		if strings.HasPrefix(string(r.request), "work/"+work+"@") {
			spans = append(spans, span{request: r.request, begun: r.begun, active: r.isActive(), onUpstream: r.upstream.id})
		}
	}
	return spans
}

func activeOf(spans []span) int {
	count := 0
	for _, s := range spans {
		if s.active {
			count++
		}
	}
	return count
}

// doubled counts the requests that run in two places.
func doubled(spans []span) int {
	active := map[unit.Request]int{}
	count := 0
	for _, s := range spans {
		if s.active {
			active[s.request]++
		}
		if active[s.request] > 1 {
			count++
		}
	}
	return count
}

// newTextWorld has two upstreams in each of two zones and a text in force.
func newTextWorld(t *testing.T) *world {
	w := newWorld(t, flaw{})
	for _, id := range []unit.Upstream{"ua1", "ua2", "ub1", "ub2"} {
		w.addUpstream(id, unit.AvailabilityZone(id[1:2]), unit.Resources{CPU: 8000, Memory: 32 * unit.Gigabyte, Slots: 16, Connections: 16})
	}
	w.awaitHolder("a")
	w.awaitHolder("b")
	w.putText(1, textOf(3, true))
	return w
}

func (w *world) putText(base unit.Version, text []byte) {
	w.log.put(registrar.PutConfig{ID: fmt.Sprint("text", base), Base: base, Text: text})
}

func TestTextRunsInOrderAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTextWorld(t)
		defer w.close()
		time.Sleep(40 * time.Second)

		web, nightly, proof := w.obs.runsOf("web"), w.obs.runsOf("nightly"), w.obs.runsOf("proof")
		is.Equal(activeOf(web), 3)
		is.Equal(len(web), 3)
		is.Equal(len(nightly), 5) // each batch task ran once
		is.Equal(len(proof), 3)   // all tasks of the job
		for _, s := range nightly {
			is.True(s.begun.After(web[0].begun))
			is.True(proof[0].begun.Sub(s.begun) >= time.Second) // the batch task had ended
		}
		is.True(proof[2].begun.Sub(proof[0].begun) < 100*time.Millisecond) // together
		is.Equal(doubled(web), 0)

		time.Sleep(time.Minute) // after which nobody expects a larger upstream
		is.Equal(len(w.obs.runsOf("huge")), 0)
		is.Equal(len(w.obs.runsOf("follower")), 0)
		is.Equal(w.reasonOf(is, "huge"), dispatcher.ReasonNeverFits)
		is.Equal(w.reasonOf(is, "follower"), dispatcher.ReasonDependencyFailed)

		w.kill(w.holder("a"))
		time.Sleep(40 * time.Second)
		is.Equal(activeOf(w.obs.runsOf("web")), 3)
		is.Equal(len(w.obs.runsOf("web")), 3) // the new scheduler found the running ones
		is.Equal(len(w.obs.runsOf("nightly")), 5)
		is.Equal(len(w.obs.runsOf("proof")), 3)

		w.putText(2, textOf(1, false))
		time.Sleep(10 * time.Second)
		is.Equal(activeOf(w.obs.runsOf("web")), 1)
		w.putText(3, textOf(0, false))
		time.Sleep(10 * time.Second)
		is.Equal(activeOf(w.obs.runsOf("web")), 0)
		is.Equal(w.obs.violations[capacity], nil)
	})
}

// reasonOf returns why a job of one piece ended without running.
func (w *world) reasonOf(is *is.I, job unit.Workload) dispatcher.Reason {
	state := w.node(w.log.leaderNow()).state
	config, _ := state.Config()
	for _, j := range config.Jobs {
		if j.Name != job {
			continue
		}
		rec, _ := state.Record(j.Key().RequestID("0"))
		is.True(!rec.Open())
		o, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		is.NoErr(err)
		return o.(dispatcher.NotRun).Reason
	}
	return ""
}

// TestServiceIsRestarted ends a service's task with its upstream; another one
// takes its place once the lease has surely ended.
func TestServiceIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTextWorld(t)
		defer w.close()
		time.Sleep(10 * time.Second)
		was := w.obs.runsOf("web")
		is.Equal(activeOf(was), 3)
		w.ups[was[0].onUpstream].kill()
		time.Sleep(20 * time.Second)
		is.Equal(activeOf(w.obs.runsOf("web")), 3)
		is.Equal(doubled(w.obs.runsOf("web")), 0)
	})
}

// TestWorkOfALostZoneMoves declares a zone lost: its services and open pieces
// run in the other one.
func TestWorkOfALostZoneMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTextWorld(t)
		defer w.close()
		time.Sleep(500 * time.Millisecond)
		lost := strings.Replace(string(textOf(3, true)), "{Name: b}", "{Name: b, Lost: true}", 1)
		w.putText(2, []byte(lost))
		time.Sleep(60 * time.Second)
		for _, s := range w.obs.runsOf("web") {
			is.True(!s.active || s.onUpstream[1] == 'a')
		}
		is.Equal(activeOf(w.obs.runsOf("web")), 3)
		config, _ := parser.Parse("text", []byte(lost))
		for _, b := range config.Batches {
			for i := range b.Count {
				rec, known := w.node("a1").state.Record(b.Key().RequestID(fmt.Sprint(i)))
				is.True(known)
				is.True(!rec.Open()) // every piece has its end
			}
		}
	})
}

func TestSlotBacksOff(t *testing.T) {
	is := is.New(t)
	c, _ := parser.Parse("text", textOf(1, false))
	var w textWork
	w.plan(c, "a")
	w.plan(c, "b")
	for id, s := range w.slots {
		s.live = id + "#1"
		w.ended(0, s.live, dispatcher.Done{Failed: true})
		is.Equal(s.restartAt, firstRestart)
		s.live = id + "#2"
		w.ended(0, s.live, dispatcher.Unknown{})
		is.Equal(s.restartAt, 2*firstRestart)
		for range 20 {
			s.live = id + "#3"
			w.ended(0, s.live, dispatcher.Unknown{})
		}
		is.Equal(s.restartAt, clock.Millis(lastRestart))
	}
}
