package driver

import (
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/planner"
)

// timing is what a session has timed since its last status line.
type timing struct {
	planner.Timing
	lag, pollInterval clock.Millis
	passes, commits   planner.Span
}

// takeTiming returns what was timed since the last call. The caller must hold s.mu.
func (s *session) takeTiming() timing {
	t := timing{
		Timing: s.planner.TakeTiming(), lag: s.lag.units / lagUnitsPerMillisecond, pollInterval: s.lag.pollInterval(),
		passes: s.passes, commits: s.commits,
	}
	s.passes, s.commits = planner.Span{}, planner.Span{}
	return t
}

// updateDelays sets the gauges of the leader's delays. They are 0 on an instance that doesn't lead.
func (m *metrics) updateDelays(t timing) {
	m.lag.Update(float64(t.lag))
	m.pollInterval.Update(float64(t.pollInterval))
}

// logTiming logs the delays of the leader itself, then those of each queue's jobs.
func (s *session) logTiming(t timing) {
	s.d.metrics.updateDelays(t)
	s.log.WithFields(logrus.Fields{
		"LagMillis": int64(t.lag), "PollIntervalMillis": int64(t.pollInterval),
		"PollGapMillis": int64(t.PollGap.Mean()), "PollGapMaxMillis": int64(t.PollGap.Max), "Polls": t.PollGap.Count,
		"PassMillis": int64(t.passes.Mean()), "PassMaxMillis": int64(t.passes.Max), "Passes": t.passes.Count, "Searches": t.Searches,
		"CommitMillis": int64(t.commits.Mean()), "CommitMaxMillis": int64(t.commits.Max), "Commits": t.commits.Count,
	}).Info("leader timing")
	for _, name := range t.SortedQueues() {
		q := t.Queues[name]
		s.log.WithFields(logrus.Fields{
			"Queue": name, "GrantMillis": int64(q.Grant.Mean()), "GrantMaxMillis": int64(q.Grant.Max), "Granted": q.Grant.Count,
			"PlacementMillis": int64(q.Placement.Mean()), "PlacementMaxMillis": int64(q.Placement.Max), "Placed": q.Placement.Count,
			"AnswerMillis": int64(q.Answer.Mean()), "AnswerMaxMillis": int64(q.Answer.Max), "Answered": q.Answer.Count,
			"JobMillis": int64(q.Job.Mean()), "JobMaxMillis": int64(q.Job.Max), "Completed": q.Job.Count,
			"InTime": q.InTime, "Late": q.Late, "Worthless": q.Worthless,
		}).Info("queue timing")
	}
}
