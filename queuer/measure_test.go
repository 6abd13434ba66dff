package queuer

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// cancelWave adds 10,000 tasks, cancels them in a scattered order and returns
// the nanoseconds for each.
func (g *generator) cancelWave() float64 {
	const wave = 10_000
	var ids []unit.Task
	for range wave {
		ids = append(ids, g.w.add(g.draw()).ID)
	}
	g.w.rng.Shuffle(wave, func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	begin := time.Now()
	for _, id := range ids {
		g.w.q.Cancel(g.w.now, id)
		delete(g.w.jobs, id)
	}
	return float64(time.Since(begin)) / wave
}

var mixes = []struct {
	name string
	mix
}{{"pinecradle", pinecradle}, {"mandacaru", mandacaru}}

var scenarios = []struct {
	name string
	scenario
}{
	{"quiet", scenario{load: 0.3}},
	{"full", scenario{load: 1}},
	{"overload", scenario{load: 1.5}},
	{"storm", scenario{load: 1, wave: true}},
	{"cancels", scenario{load: 1.5, cancel: true}},
	{"faulty", scenario{load: 0.5, faulty: 0.3}},
	{"sizes4x", scenario{load: 1, sizeFactor: 4}},
	{"times10x", scenario{load: 1, wrongTimes: true}},
}

var policies = []struct {
	name   string
	config Config
}{
	{"arrival", Config{Policy: Arrival{}}},
	{"fair", Config{Policy: Fair{}}},
}

// BenchmarkScenarios measures both users' mixes under each scenario, by the
// baseline and by the product's policy. At 5,900 upstreams the span is a
// minute instead of four.
func BenchmarkScenarios(b *testing.B) {
	for _, workers := range []int{50, 400, 5900} {
		for _, m := range mixes {
			for _, s := range scenarios {
				for _, p := range policies {
					b.Run(fmt.Sprintf("%d/%s/%s/%s", workers, m.name, s.name, p.name), func(b *testing.B) {
						sc := s.scenario
						sc.seed = 7
						if workers > 1000 {
							sc.spanSeconds = 60
						}
						for range b.N {
							report(b, run(p.config, m.mix, sc, workers))
						}
					})
				}
			}
		}
	}
}

// BenchmarkScorers weighs the ways to place batch work, on batch alone, as the
// mean of eight seeds.
func BenchmarkScorers(b *testing.B) {
	scorers := []placer.Scorer{placer.FirstFit{}, placer.BestFit{}, placer.LeastSum{}, placer.Aligned{}}
	for _, m := range mixes {
		for _, sc := range scorers {
			b.Run(fmt.Sprintf("%s/%T", m.name, sc), func(b *testing.B) {
				for range b.N {
					reportMeans(b, Config{Scorer: sc}, m.mix, scenario{load: 1.5, onlyBatch: true})
				}
			})
		}
	}
}

// BenchmarkWeights measures what the operator's weights change.
func BenchmarkWeights(b *testing.B) {
	for _, weights := range []Weights{{}, {Waiting: 3, Packing: 1, Share: 1}, {Waiting: 1, Packing: 3, Share: 1}, {Waiting: 1, Packing: 1}} {
		for _, m := range mixes {
			b.Run(fmt.Sprintf("%s/%+v", m.name, weights), func(b *testing.B) {
				for range b.N {
					reportMeans(b, Config{Weights: weights}, m.mix, scenario{load: 1.2})
				}
			})
		}
	}
}

func reportMeans(b *testing.B, config Config, m mix, s scenario) {
	const seeds = 8
	var packing, distance, stops, starts, p50, p99 float64
	for seed := range uint64(seeds) {
		s.seed = seed + 1
		r := run(config, m, s, 50)
		packing += r.packing / seeds
		distance += r.distance / seeds
		stops += float64(r.preemptions) / seeds
		starts += float64(r.starts) / seeds
		p50 += float64(percentile(r.waits, 0.5)) / float64(clock.Second) / seeds
		p99 += float64(percentile(r.waits, 0.99)) / float64(clock.Second) / seeds
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*packing, "packing-%")
	b.ReportMetric(100*distance, "off-share-%")
	b.ReportMetric(stops, "stops")
	b.ReportMetric(starts, "starts")
	b.ReportMetric(p50, "wait-p50-s")
	b.ReportMetric(p99, "wait-p99-s")
}

func report(b *testing.B, m measured) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(percentile(m.waits, 0.5))/float64(clock.Second), "wait-p50-s")
	b.ReportMetric(float64(percentile(m.waits, 0.99))/float64(clock.Second), "wait-p99-s")
	b.ReportMetric(float64(percentile(m.urgentWaits, 0.99))/float64(clock.Second), "urgent-p99-s")
	b.ReportMetric(100*m.packing, "packing-%")
	b.ReportMetric(100*m.distance, "off-share-%")
	b.ReportMetric(float64(m.preemptions), "stops")
	b.ReportMetric(float64(m.starts), "starts")
	b.ReportMetric(float64(m.took)/float64(max(1, m.decisions)), "ns/decision")
	b.ReportMetric(float64(percentile(m.perDecision, 0.99)), "ns/decision-p99")
	if m.cancelTook > 0 {
		b.ReportMetric(m.cancelTook, "ns/cancel")
	}
	if m.onFaulty > 0 {
		b.ReportMetric(float64(m.onFaulty), "starts-on-faulty")
	}
	b.ReportMetric(100*m.overuse, "overused-%")
}

// BenchmarkDecision measures the latency of a decision in a full cell with a
// backlog: Decide is called for each end, and starts what fits into the room.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct{ workers, teams int }{{50, 6}, {400, 6}, {5900, 6}, {50, 140}, {400, 140}, {5900, 140}} {
		b.Run(fmt.Sprintf("%d-upstreams/%d-teams", c.workers, c.teams), func(b *testing.B) {
			w := newWorld(Config{}, 3)
			g := generator{w: w, m: pinecradle, workers: c.workers, teams: c.teams}
			allotments := map[unit.Team]unit.Resources{}
			for i := range c.teams {
				allotments[teamName(i)] = unlimited
			}
			w.q.SetAllotments(allotments)
			w.workers(c.workers, pinecradle.holds)
			w.now = clock.Minute
			for range c.workers*6 + 10_000 {
				g.addBatch()
			}
			w.decide()
			running := w.runningJobs()
			var each []time.Duration
			starts := 0
			for len(each) < b.N {
				j := running[w.rng.IntN(len(running))]
				if !j.running {
					continue
				}
				w.now += clock.Millisecond
				g.addBatch()
				begin := time.Now()
				w.q.FinishTask(w.now, j.ID, Succeeded{})
				out := w.q.Decide(w.now, 1000)
				each = append(each, time.Since(begin))
				j.running = false
				delete(w.jobs, j.ID)
				for _, d := range out {
					w.carryOut(d)
					if s, is := d.(Start); is {
						running = append(running, w.jobs[s.Task])
						starts++
					}
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(percentile(each, 0.5)), "ns-p50")
			b.ReportMetric(float64(percentile(each, 0.99)), "ns-p99")
			b.ReportMetric(float64(percentile(each, 0.999)), "ns-p99.9")
			b.ReportMetric(float64(starts)/float64(len(each)), "starts/end")
		})
	}
}

func (w *world) runningJobs() []*job {
	var running []*job
	for i := range w.ids {
		if j := w.jobs[unit.Task(fmt.Sprintf("t%07d", i+1))]; j != nil && j.running {
			running = append(running, j)
		}
	}
	return running
}
