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

// configText returns a configuration with a service of the given number of tasks. If
// rest is set, it also has a batch that depends on the service, a job that depends on
// the batch, a job that fits no upstream, and a job that depends on that one.
func configText(service int, rest bool) []byte {
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

// workloadRun is one run of a task of a workload.
type workloadRun struct {
	request    unit.Request
	startedAt  time.Time
	active     bool
	onUpstream unit.Upstream
}

// runsOf returns the runs of a workload.
func (o *observer) runsOf(workload string) []workloadRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	var runs []workloadRun
	for _, r := range o.runs {
		if strings.HasPrefix(string(r.request), "work/"+workload+"@") {
			runs = append(runs, workloadRun{request: r.request, startedAt: r.startedAt, active: r.isActive(), onUpstream: r.upstream.id})
		}
	}
	return runs
}

// countActive returns the number of active runs.
func countActive(runs []workloadRun) int {
	count := 0
	for _, r := range runs {
		if r.active {
			count++
		}
	}
	return count
}

// countDuplicates returns the number of runs whose request has another active run.
func countDuplicates(runs []workloadRun) int {
	active := map[unit.Request]int{}
	count := 0
	for _, r := range runs {
		if r.active {
			active[r.request]++
		}
		if active[r.request] > 1 {
			count++
		}
	}
	return count
}

// newTextSimulation returns a simulation with two upstreams in each zone and
// configText(3, true) in force.
func newTextSimulation(t *testing.T) *simulation {
	sim := newSimulation(t, defect{})
	for _, id := range []unit.Upstream{"ua1", "ua2", "ub1", "ub2"} {
		sim.addUpstream(id, unit.AvailabilityZone(id[1:2]), unit.Resources{CPU: 8000, Memory: 32 * unit.Gigabyte, Slots: 16, Connections: 16})
	}
	sim.awaitHolder("a")
	sim.awaitHolder("b")
	sim.putConfig(1, configText(3, true))
	return sim
}

// putConfig puts a configuration as the successor of version base.
func (sim *simulation) putConfig(base unit.Version, text []byte) {
	sim.log.commitExternal(registrar.PutConfig{ID: fmt.Sprint("text", base), Base: base, Text: text})
}

// TestTextRunsInOrderAndOnce checks that configured workloads run once and in the
// order of their dependencies, that unschedulable jobs and jobs that depend on them
// end as NotRun, that a new scheduler adopts what runs, and that a service scales
// down with its configuration.
func TestTextRunsInOrderAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newTextSimulation(t)
		defer sim.close()
		time.Sleep(40 * time.Second)

		web, nightly, proof := sim.obs.runsOf("web"), sim.obs.runsOf("nightly"), sim.obs.runsOf("proof")
		is.Equal(countActive(web), 3)
		is.Equal(len(web), 3)
		is.Equal(len(nightly), 5) // each batch task runs once
		is.Equal(len(proof), 3)   // all tasks of the job
		for _, s := range nightly {
			is.True(s.startedAt.After(web[0].startedAt))
			is.True(proof[0].startedAt.Sub(s.startedAt) >= time.Second) // the batch task has ended
		}
		is.True(proof[2].startedAt.Sub(proof[0].startedAt) < 100*time.Millisecond) // gang members start together
		is.Equal(countDuplicates(web), 0)

		time.Sleep(time.Minute) // the job huge no longer waits for a larger upstream
		is.Equal(len(sim.obs.runsOf("huge")), 0)
		is.Equal(len(sim.obs.runsOf("follower")), 0)
		is.Equal(sim.reasonOf(is, "huge"), dispatcher.ReasonNeverFits)
		is.Equal(sim.reasonOf(is, "follower"), dispatcher.ReasonDependencyFailed)

		sim.killInstance(sim.holder("a"))
		time.Sleep(40 * time.Second)
		is.Equal(countActive(sim.obs.runsOf("web")), 3)
		is.Equal(len(sim.obs.runsOf("web")), 3) // the new scheduler adopts the running tasks
		is.Equal(len(sim.obs.runsOf("nightly")), 5)
		is.Equal(len(sim.obs.runsOf("proof")), 3)

		sim.putConfig(2, configText(1, false))
		time.Sleep(10 * time.Second)
		is.Equal(countActive(sim.obs.runsOf("web")), 1)
		sim.putConfig(3, configText(0, false))
		time.Sleep(10 * time.Second)
		is.Equal(countActive(sim.obs.runsOf("web")), 0)
		is.Equal(sim.obs.violations[capacity], nil)
	})
}

// reasonOf returns the reason of the NotRun of a job.
func (sim *simulation) reasonOf(is *is.I, job unit.Workload) dispatcher.Reason {
	state := sim.node(sim.log.currentLeader()).state
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

// TestServiceTaskRestartsAfterUpstreamDies checks that a service's task is replaced
// after its upstream dies, and not before its lease has expired.
func TestServiceTaskRestartsAfterUpstreamDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newTextSimulation(t)
		defer sim.close()
		time.Sleep(10 * time.Second)
		before := sim.obs.runsOf("web")
		is.Equal(countActive(before), 3)
		sim.upstreams[before[0].onUpstream].kill()
		time.Sleep(20 * time.Second)
		is.Equal(countActive(sim.obs.runsOf("web")), 3)
		is.Equal(countDuplicates(sim.obs.runsOf("web")), 0)
	})
}

// TestWorkloadsOfLostZoneRunElsewhere checks that the service tasks and open batch
// tasks of a zone that is declared lost run in the other zone.
func TestWorkloadsOfLostZoneRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newTextSimulation(t)
		defer sim.close()
		time.Sleep(500 * time.Millisecond)
		lost := strings.Replace(string(configText(3, true)), "{Name: b}", "{Name: b, Lost: true}", 1)
		sim.putConfig(2, []byte(lost))
		time.Sleep(60 * time.Second)
		for _, s := range sim.obs.runsOf("web") {
			is.True(!s.active || s.onUpstream[1] == 'a')
		}
		is.Equal(countActive(sim.obs.runsOf("web")), 3)
		config, _ := parser.Parse("text", []byte(lost))
		for _, b := range config.Batches {
			for i := range b.Count {
				rec, known := sim.node("a1").state.Record(b.Key().RequestID(fmt.Sprint(i)))
				is.True(known)
				is.True(!rec.Open()) // every batch task has an outcome
			}
		}
	})
}

// TestServiceRestartDelayDoubles checks that the restart delay of a slot doubles with
// each failure, up to maxRestartDelay.
func TestServiceRestartDelayDoubles(t *testing.T) {
	is := is.New(t)
	c, _ := parser.Parse("text", configText(1, false))
	var w workloads
	w.configure(c, "a")
	w.configure(c, "b")
	for id, s := range w.slots {
		s.current = id + "#1"
		w.recordEnd(0, s.current, dispatcher.Done{Failed: true})
		is.Equal(s.restartAt, minRestartDelay)
		s.current = id + "#2"
		w.recordEnd(0, s.current, dispatcher.Unknown{})
		is.Equal(s.restartAt, 2*minRestartDelay)
		for range 20 {
			s.current = id + "#3"
			w.recordEnd(0, s.current, dispatcher.Unknown{})
		}
		is.Equal(s.restartAt, clock.Millis(maxRestartDelay))
	}
}
