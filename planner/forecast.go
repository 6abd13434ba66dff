package planner

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/predictor"
	"github.com/chervilvane/chervilvane/unit"
)

// highQuantile is the quantile that stands for a late end.
const highQuantile = 0.9

// forecastTTL is how long forecasts are cached: as long as the rank of a step.
const forecastTTL = rankInterval

// jobForecast is the cached forecast of a job's steps.
type jobForecast struct {
	at    clock.Millis
	steps []predictor.Forecast
	// medians are the medians of steps.
	medians []clock.Millis
}

// forecastOf returns the forecast of a job's steps on upstreams of usual speed.
func (p *Planner) forecastOf(j *keeper.Job) *jobForecast {
	f := p.forecasts[j.ID]
	if f != nil && p.now-f.at < forecastTTL {
		return f
	}
	if f == nil {
		n := len(j.Submission.Steps)
		f = &jobForecast{steps: make([]predictor.Forecast, n), medians: make([]clock.Millis, n)}
		p.forecasts[j.ID] = f
	}
	f.at = p.now
	for i := range j.Submission.Steps {
		f.steps[i] = p.predictor.Forecast(taskOf(j, &j.Submission.Steps[i], i), p.runningSiblings(j, i))
		f.medians[i] = f.steps[i].Median()
	}
	return f
}

// maxSiblings bounds the live runs that are evidence for a step.
const maxSiblings = 32

// runningSiblings returns the live runs of a step that count as evidence: those from the
// beginning, of a step that runs once.
func (p *Planner) runningSiblings(j *keeper.Job, index int) []predictor.Running {
	o := j.Occurrences[0]
	if o == nil || j.Submission.Repeat > 1 || j.LiveRunCount == 0 || j.Submission.Steps[index].Gang {
		return nil
	}
	list := p.siblings[:0]
	for _, t := range o.Steps[index].Tasks {
		for _, l := range t.LiveRuns {
			if l.Number == 1 && len(list) < maxSiblings {
				list = append(list, predictor.Running{Elapsed: p.now - l.StartedAt, Slowness: p.slownessOf(l.Upstream)})
			}
		}
	}
	p.siblings = list
	return list
}

// slowness returns the expected running time of a task on an upstream, relative to the usual
// time.
func (p *Planner) slowness(u *upstream) float64 {
	if p.now-u.slownessAt >= forecastTTL || u.slownessAt == 0 {
		u.slowness, u.slownessAt = p.predictor.Slowness(u.ID, p.now), p.now
		u.slownessFactor = u.slowness.Factor()
	}
	return u.slownessFactor
}

// slownessOf returns what is known of an upstream's speed.
func (p *Planner) slownessOf(id unit.Upstream) predictor.Slowness {
	u := p.upstreams[id]
	if u == nil {
		return p.predictor.Slowness(id, p.now)
	}
	p.slowness(u)
	return u.slowness
}

// RunForecast is the forecast of a run at its start, with what it is based on.
type RunForecast struct {
	// Median and High are the times within which the run ends with a probability of 0.5 and
	// 0.9.
	Median, High clock.Millis
	// Estimate is the client's estimate.
	Estimate clock.Millis
	// Slowness is the upstream's expected time relative to the usual one.
	Slowness float64
	// Weight is the weight of the observations, in steps, and Siblings that of the ended
	// tasks of the same step, in tasks.
	Weight, Siblings float64
}

// forecastStart returns the forecast of a task of a step on an upstream.
func (p *Planner) forecastStart(s *step, u *upstream) *RunForecast {
	slowness := p.slownessOf(u.ID)
	f := p.forecastOf(s.job).steps[s.id.Step].On(slowness)
	return &RunForecast{
		Median: f.Median(), High: f.Quantile(highQuantile), Estimate: s.spec.Estimate,
		Slowness: u.slownessFactor, Weight: f.Weight, Siblings: f.Siblings,
	}
}

// forecastRun returns the forecast of a run from its beginning. It is false for a run whose
// end isn't predicted.
func (p *Planner) forecastRun(r *run) (predictor.Forecast, bool) {
	if r.spec == nil || r.spec.LongRunning || r.job.Phase.IsFinal() {
		return predictor.Forecast{}, false
	}
	slowness := p.slownessOf(r.upstream)
	if _, st, _ := p.state.LookupTask(r.key.Task); r.spec.Gang && st != nil {
		for _, t := range st.Tasks {
			for _, l := range t.LiveRuns {
				if l.Number == r.key.Number {
					slowness = slowness.Slower(p.slownessOf(l.Upstream))
				}
			}
		}
	}
	return p.forecastOf(r.job).steps[r.key.Task.Step].On(slowness), true
}

// predictedEnd returns the time by which a run ends with probability q, given that it still
// runs and what progress its upstream has listed. It is false for a run whose end isn't
// predicted.
func (p *Planner) predictedEnd(r *run, q float64) (clock.Millis, bool) {
	f, ok := p.forecastRun(r)
	if !ok {
		return 0, false
	}
	if total := r.totalByProgress(); total > 0 {
		f = f.WithTotal(total, p.progressNoise.spread())
	}
	return p.now + f.Remaining(p.now-r.recordedAt, q), true
}

// remainingTTL is how long the remaining time of a run is cached.
const remainingTTL = 100 * clock.Millisecond

// remaining returns the median of a run's remaining time.
func (p *Planner) remaining(r *run) clock.Millis {
	if p.now-r.endForecastAt >= remainingTTL || r.endForecastAt == 0 {
		r.endForecast, _ = p.predictedEnd(r, 0.5)
		r.endForecastAt = p.now
	}
	return max(r.endForecast-p.now, 0)
}

// progress is a point of the progress that an upstream lists for a run.
type progress struct {
	percent int
	at      clock.Millis
}

// minProgress is the progress in percent from which on it predicts the end. Less says little:
// it is listed in whole percents, and the beginning of a run may be slow.
const minProgress = 20

// totalByProgress returns the time of the whole run by its progress; 0 if there is too little
// of it or it has ever gone back. A run from a checkpoint is judged by its progress since it
// was first listed.
func (r *run) totalByProgress() clock.Millis {
	from := progress{0, r.ackedAt}
	if r.resumed || r.inherited {
		from = r.firstProgress
	}
	made := r.percent - from.percent
	if r.progressWentBack || from.at == 0 || made < minProgress || r.percent >= 100 || r.progressAt <= from.at {
		return 0
	}
	left := clock.Millis(100-r.percent) * (r.progressAt - from.at) / clock.Millis(made)
	return r.progressAt - r.recordedAt + left
}

// progressNoise is the mean square of the error of the logarithm of the total times that
// progress suggested. Not every deployment lists a progress that says something.
type progressNoise struct{ sum, weight float64 }

const (
	// progressPrior is the assumed error, with the weight of progressPriorWeight runs.
	progressPrior       = 0.2
	progressPriorWeight = 10
	// progressWindow is the number of runs over which the error is averaged.
	progressWindow = 200
)

func (n *progressNoise) spread() float64 {
	return math.Sqrt((n.sum + progressPriorWeight*progressPrior*progressPrior) / (n.weight + progressPriorWeight))
}

func (n *progressNoise) add(suggested, took clock.Millis) {
	e := math.Log(float64(suggested) / float64(took))
	n.sum = n.sum*(1-1./progressWindow) + min(e*e, 4)
	n.weight = n.weight*(1-1./progressWindow) + 1
}

// ForecastStatus tells how good the forecasts at the starts of runs were. It covers whole
// runs that this leader started and that ended as done; a gang counts once.
type ForecastStatus struct {
	// Ends counts the runs; EarlierThanMedian and EarlierThanHigh those that ended before
	// their median and 0.9 quantile.
	Ends, EarlierThanMedian, EarlierThanHigh int
	// Error is a moving average of the absolute error of the logarithm of the median, and
	// EstimateError that of the client's estimate.
	Error, EstimateError float64
}

// forecastErrorWeight is the weight of a run in the moving averages of the error.
const forecastErrorWeight = 0.01

// judgeForecast compares the forecast of a run with its time. It must be called before the
// end is recorded.
func (p *Planner) judgeForecast(r *run, outcome keeper.RunOutcome) {
	if outcome != keeper.RunDone || r.ackedAt == 0 || r.inherited || r.resumed || r.forecast == nil {
		return
	}
	if _, _, t := p.state.LookupTask(r.key.Task); t == nil || t.Done {
		return
	}
	took := max(p.now-r.recordedAt, 1)
	if r.suggested > 0 {
		p.progressNoise.add(r.suggested, took)
	}
	if r.forecast.Median == 0 {
		return
	}
	s := &p.forecastStatus
	s.Ends++
	if took <= r.forecast.Median {
		s.EarlierThanMedian++
	}
	if took <= r.forecast.High {
		s.EarlierThanHigh++
	}
	s.Error = blend(s.Error, logError(r.forecast.Median, took), forecastErrorWeight)
	if r.forecast.Estimate > 0 {
		s.EstimateError = blend(s.EstimateError, logError(r.forecast.Estimate, took), forecastErrorWeight)
	}
}

func logError(predicted, took clock.Millis) float64 {
	return math.Abs(math.Log(float64(predicted) / float64(took)))
}

// learnerOf returns the learner that observes a state. If there is none, it is one that
// knows nothing.
func learnerOf(state *keeper.State) *Learner {
	l, ok := state.Observer.(*Learner)
	if !ok {
		l = NewLearner()
		state.Observer = l
	}
	return l
}

// invalidateForecasts lets the forecasts of a step and the overdue times of its live runs be
// determined anew, after a task of it has ended.
func (p *Planner) invalidateForecasts(id keeper.StepID) {
	j := p.state.Jobs[id.Job]
	if j == nil || j.Phase.IsFinal() || j.Occurrences[id.Occurrence] == nil {
		return
	}
	st := j.Occurrences[id.Occurrence].Steps[id.Step]
	// The forecast changes most with the first ends.
	if st.DoneTasks&(st.DoneTasks-1) != 0 {
		return
	}
	if f := p.forecasts[id.Job]; f != nil {
		f.at = 0
	}
	for x, t := range st.Tasks {
		for _, l := range t.LiveRuns {
			if r := p.runs[keeper.RunKey{Task: id.TaskID(x), Number: l.Number}]; r != nil && p.now < r.nextCheckAt && !r.overdue {
				r.nextCheckAt = 0
			}
		}
	}
}
