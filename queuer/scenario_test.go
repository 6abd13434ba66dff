package queuer

import (
	"fmt"
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// mix is the set of jobs that a user runs.
type mix struct {
	// capacity is the capacity of each upstream.
	capacity unit.Resources
	// batch, urgent, burst and gang are templates of the jobs that arrive. batch
	// jobs are drawn at random, burst jobs arrive all at once.
	batch    []job
	urgent   job
	burst    job
	gang     job
	gangSize int
	// service is the template of the services, which start before the rest.
	service job
}

func resources(cores, gigabytes, slots, connections int) unit.Resources {
	return unit.Resources{
		CPU:         unit.MilliCPU(cores) * unit.Core,
		Memory:      unit.Bytes(gigabytes) * unit.Gigabyte,
		Slots:       unit.Count(slots),
		Connections: unit.Count(connections),
	}
}

func newJob(workload string, kind placer.Kind, need unit.Resources, runTime clock.Millis) job {
	return job{
		Task:          placer.Task{Workload: unit.Workload(workload), Kind: kind, Need: need, Repeatable: true, RunTime: runTime},
		actualRunTime: runTime,
	}
}

func urgent(j job, repeatable bool) job {
	j.Urgent = true
	j.Repeatable = repeatable
	return j
}

var (
	checkpointed = placer.Batch{Checkpoints: true}
	plain        = placer.Batch{}
)

// pinecradle runs roster builds, reshuffles after storms and seat holds.
var pinecradle = mix{
	capacity: resources(32, 128, 8, 64),
	batch: []job{
		newJob("roster", checkpointed, resources(4, 12, 1, 2), 120*clock.Second),
		newJob("roster-large", checkpointed, resources(12, 40, 2, 4), 200*clock.Second),
		newJob("report", plain, resources(2, 24, 1, 1), 60*clock.Second),
	},
	urgent:   urgent(newJob("hold", plain, resources(1, 1, 0, 1), 400*clock.Millisecond), true),
	burst:    urgent(newJob("reshuffle", plain, resources(2, 4, 1, 2), 5*clock.Second), false),
	gang:     newJob("drill", placer.Gang{}, resources(8, 16, 2, 4), 90*clock.Second),
	gangSize: 8,
	service:  newJob("booking", placer.Service{}, resources(2, 8, 0, 8), clock.Hour),
}

// mandacaru runs print proofs, lettering passes and cover thumbnails.
var mandacaru = mix{
	capacity: resources(32, 64, 8, 64),
	batch: []job{
		newJob("proof", checkpointed, resources(8, 20, 2, 2), 180*clock.Second),
		newJob("lettering", checkpointed, resources(2, 6, 1, 1), 90*clock.Second),
		newJob("separation", plain, resources(6, 8, 1, 1), 60*clock.Second),
	},
	urgent:   urgent(newJob("thumbnail", plain, resources(1, 1, 0, 1), clock.Second), true),
	burst:    urgent(newJob("launch", plain, resources(2, 2, 1, 2), 4*clock.Second), true),
	gang:     newJob("issue", placer.Gang{}, resources(10, 16, 2, 2), 90*clock.Second),
	gangSize: 6,
	service:  newJob("prelo", placer.Service{}, resources(2, 4, 0, 8), clock.Hour),
}

// scenario sets the load and the faults of a simulation.
type scenario struct {
	// load is the rate at which batch jobs arrive, as a multiple of the cell's
	// capacity.
	load float64
	// burst adds a burst of urgent jobs, cancel a burst of jobs that are
	// cancelled.
	burst  bool
	cancel bool
	// faultyFraction is the fraction of the upstreams that fail every task.
	faultyFraction float64
	// usageFactor multiplies the usage of half of the batch jobs, if above 1.
	usageFactor int
	noGangs     bool
	noPreload   bool
	onlyBatch   bool
	seed        uint64
	// wrongRunTimes makes declared run times wrong by a factor of up to 10.
	wrongRunTimes bool
	// spanSeconds is how long to measure, 0 means 240 s.
	spanSeconds int
}

const teamCount = 6

// result holds the measurements of a scenario. packing, distance and overuse are
// means over its seconds.
type result struct {
	*simulation
	// packing is the largest fraction of the cell's capacity in any dimension
	// that is allocated, distance the result of shareDistance.
	packing, distance float64
	// overuse is the fraction of the upstreams whose usage exceeds their
	// capacity.
	overuse        float64
	nanosPerCancel float64
}

// runScenario runs a scenario and measures it after a minute of warm-up.
func runScenario(config Config, m mix, s scenario, upstreams int) result {
	sim := newSimulation(config, s.seed)
	sim.q.SetTeams(teams())
	sim.q.SetAllotments(unlimitedAllotments())
	sim.addUpstreams(upstreams, m.capacity)
	for u := range int(s.faultyFraction * float64(upstreams)) {
		sim.faulty[unit.Upstream(fmt.Sprintf("u%04d", u*upstreams/max(1, int(s.faultyFraction*float64(upstreams)))))] = true
	}
	sim.now = clock.Minute
	g := generator{sim: sim, mix: m, scenario: s, upstreams: upstreams}
	g.services()
	if !s.noPreload {
		g.preload()
	}
	out := result{simulation: sim}
	const warmup = 60
	seconds := 240
	if s.spanSeconds > 0 {
		seconds = s.spanSeconds
	}
	for second := range warmup + seconds {
		if second == warmup {
			sim.waitTimes, sim.urgentWaitTimes, sim.preemptions, sim.overused = nil, nil, 0, 0
			sim.starts, sim.decisions, sim.perDecision, sim.elapsed = 0, 0, nil, 0
			sim.failures, sim.startsOnFaulty = 0, 0
		}
		if second == warmup+30 && s.burst {
			g.burst()
		}
		if second == warmup+30 && s.cancel {
			out.nanosPerCancel = g.cancelBurst()
		}
		sim.advance(clock.Second, g.arrive)
		if second >= warmup {
			out.sample(m, upstreams, seconds)
		}
	}
	return out
}

func (r *result) sample(m mix, upstreams, seconds int) {
	var sum unit.Resources
	overused := 0
	for _, used := range r.usageByUpstream() {
		if !used.Fits(m.capacity) {
			overused++
		}
	}
	for _, allocated := range r.q.Allocated() {
		sum = sum.Add(allocated)
	}
	total := times(m.capacity, upstreams)
	r.packing += loadOf(sum, total, 1) / float64(seconds)
	r.distance += r.shareDistance(total) / float64(seconds)
	r.overuse += float64(overused) / float64(upstreams) / float64(seconds)
}

// shareDistance returns the largest distance of a team from its weighted max-min
// fair share of what is allocated to all teams. A team's fair share is at most
// its demand; the rest goes to the others by their shares.
func (r *result) shareDistance(total unit.Resources) float64 {
	waiting := map[*team]unit.Resources{}
	for _, l := range r.q.lanes {
		waiting[l.team] = waiting[l.team].Add(times(l.key.need, l.count))
	}
	var allocated, largest float64
	for _, t := range r.q.teamsByName {
		allocated += loadOf(t.allocated, total, 1)
	}
	fairShare := func(t *team, level float64) float64 {
		return min(loadOf(t.allocated.Add(waiting[t]), total, 1), level*float64(t.share))
	}
	low, high := 0.0, 10.0
	for range 40 {
		level := (low + high) / 2
		distributed := 0.0
		for _, t := range r.q.teamsByName {
			distributed += fairShare(t, level)
		}
		if distributed < allocated {
			low = level
		} else {
			high = level
		}
	}
	for _, t := range r.q.teamsByName {
		largest = max(largest, math.Abs(loadOf(t.allocated, total, 1)-fairShare(t, high)))
	}
	return largest
}

func teams() []Team {
	var ts []Team
	for i := range teamCount {
		ts = append(ts, Team{Name: teamName(i), Share: []int{4, 3, 2, 1, 1, 1}[i]})
	}
	return ts
}

func teamName(i int) unit.Team { return unit.Team(fmt.Sprintf("team%d", i)) }

func unlimitedAllotments() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for i := range teamCount {
		out[teamName(i)] = unlimited
	}
	return out
}

// generator submits the jobs of a scenario.
type generator struct {
	sim                 *simulation
	mix                 mix
	scenario            scenario
	upstreams           int
	batchDue, urgentDue float64
	gangs               int
	teams               int
	nextGang            clock.Millis
}

func (g *generator) services() {
	if g.scenario.onlyBatch {
		return
	}
	for i := range max(1, g.upstreams/10) {
		j := g.mix.service
		j.Workload = unit.Workload(fmt.Sprintf("%s%d", j.Workload, i%4))
		j.Team = teamName(i % teamCount)
		g.sim.add(j)
	}
	g.sim.decide()
}

// preload fills the cell and the queue, so that they are full when measuring
// starts.
func (g *generator) preload() {
	if g.scenario.load < 1 {
		return
	}
	for range g.upstreams * 12 {
		g.addBatch()
	}
}

func (g *generator) newBatchJob() job {
	j := g.mix.batch[g.sim.rng.IntN(len(g.mix.batch))]
	j.Team = teamName(g.sim.rng.IntN(max(teamCount, g.teams)))
	j.Account = unit.ClientAccount(fmt.Sprint(g.sim.rng.IntN(2)))
	j.actualRunTime = clock.Millis(float64(j.actualRunTime) * (0.5 + g.sim.rng.Float64()))
	if g.scenario.wrongRunTimes {
		j.RunTime = clock.Millis(float64(j.RunTime) * []float64{0.1, 1, 10}[g.sim.rng.IntN(3)])
	}
	if f := g.scenario.usageFactor; f > 1 && g.sim.rng.IntN(2) == 0 {
		j.actualUsage = unit.Resources{CPU: j.Need.CPU * unit.MilliCPU(f), Memory: j.Need.Memory * unit.Bytes(f), Slots: j.Need.Slots, Connections: j.Need.Connections}.Min(g.mix.capacity)
		j.Workload += "-large"
	}
	return j
}

func (g *generator) addBatch() { g.sim.add(g.newBatchJob()) }

// arrive submits the jobs that arrive within one tick.
func (g *generator) arrive() {
	perJob := 0.0
	for _, j := range g.mix.batch {
		perJob += loadOf(j.Need, g.mix.capacity, 1) * float64(j.actualRunTime) / float64(len(g.mix.batch))
	}
	g.batchDue += g.scenario.load * float64(g.upstreams) * float64(tick) / perJob
	for ; g.batchDue >= 1; g.batchDue-- {
		g.addBatch()
	}
	if g.scenario.onlyBatch {
		return
	}
	g.urgentDue += 0.2 * float64(g.upstreams) * float64(tick) / float64(clock.Second)
	for ; g.urgentDue >= 1; g.urgentDue-- {
		j := g.mix.urgent
		j.Team = teamName(g.sim.rng.IntN(teamCount))
		g.sim.add(j)
	}
	if g.sim.now >= g.nextGang && !g.scenario.noGangs {
		g.nextGang = g.sim.now + clock.Millis(1_000_000/g.upstreams)
		g.addGang()
	}
}

func (g *generator) addGang() {
	g.gangs++
	team := teamName(g.sim.rng.IntN(teamCount))
	for range g.mix.gangSize {
		j := g.mix.gang
		j.Team = team
		j.Kind = placer.Gang{ID: unit.Workload(fmt.Sprintf("gang%d", g.gangs)), Size: g.mix.gangSize}
		g.sim.add(j)
	}
}

// burst submits two urgent tasks for each upstream at once.
func (g *generator) burst() {
	for i := range g.upstreams * 2 {
		j := g.mix.burst
		j.Team = teamName(i % teamCount)
		g.sim.add(j)
	}
}
