package driver

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
)

// metrics of the holder.
type metrics struct {
	request, commit, start, advice tally.Histogram
	looks, accepted, starts        tally.Counter
	ends                           map[keeper.RunOutcome]tally.Counter
}

// buckets span the times from a local answer to a few seconds.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("domain")
	m := metrics{
		request:  s.Histogram("request_seconds", buckets),
		commit:   s.Histogram("commit_seconds", buckets),
		start:    s.Histogram("start_seconds", buckets),
		advice:   s.Histogram("advice_seconds", buckets),
		looks:    s.Counter("looks"),
		accepted: s.Counter("jobs_accepted"),
		starts:   s.Counter("runs_started"),
		ends:     map[keeper.RunOutcome]tally.Counter{},
	}
	for how, name := range hows {
		m.ends[how] = s.Tagged(map[string]string{"how": name}).Counter("runs_ended")
	}
	return m
}

var hows = map[keeper.RunOutcome]string{
	keeper.RunLost: "Lost", keeper.RunDone: "Done", keeper.RunFailed: "Failed", keeper.RunStopped: "Stopped",
	keeper.RunExpired: "Lapsed", keeper.RunGangBroken: "Broken", keeper.RunGangIncomplete: "Alone",
}

var phases = map[keeper.Phase]string{
	keeper.Queued: "Queued", keeper.Running: "Running", keeper.Completed: "Completed",
	keeper.Failed: "Failed", keeper.Cancelled: "Cancelled",
}

// Names of the fields of the holder's lines.
const (
	fieldRun  = "Run"
	fieldLife = "Life"
)

// logCommands writes a line for each decision that was committed.
func (s *session) logCommands(list []keeper.Command) {
	for _, c := range list {
		switch c := c.(type) {
		case keeper.AcceptJob:
			s.d.metrics.accepted.Inc(1)
			s.log.WithFields(logrus.Fields{
				logger.FieldRequest: c.ID, "Account": c.Account, "Queue": c.Queue.Name, "Steps": len(c.Submission.Steps),
			}).Info("accepted a job")
		case keeper.EndJob:
			s.log.WithFields(logrus.Fields{logger.FieldRequest: c.ID, "Phase": phases[c.Phase]}).Info("ended a job")
		case keeper.StartRun:
			s.d.metrics.starts.Inc(1)
			s.log.WithFields(logrus.Fields{
				logger.FieldTask: c.Task.String(), fieldRun: c.Number, logger.FieldUpstream: c.Upstream, fieldLife: c.Incarnation,
			}).Info("starting a task")
		case keeper.EndRun:
			s.d.metrics.ends[c.Outcome].Inc(1)
			s.log.WithFields(logrus.Fields{
				logger.FieldTask: c.Task.String(), fieldRun: c.Number, logger.FieldUpstream: c.Upstream, "How": hows[c.Outcome], "Noted": c.EndSeq,
			}).Info("a run has ended")
		case keeper.SetConfig:
			s.log.WithFields(logrus.Fields{"ConfigVersion": c.Config.Version, "Queues": len(c.Config.Queues)}).Info("the configuration has changed")
		case keeper.SetUpstream:
			s.log.WithFields(logrus.Fields{
				logger.FieldUpstream: c.Upstream.ID, fieldLife: c.Upstream.Incarnation, "Draining": c.Upstream.Draining, "Address": c.Upstream.Address,
			}).Info("an upstream has announced itself")
		case keeper.RemoveUpstream:
			s.log.WithFields(logrus.Fields{logger.FieldUpstream: c.ID, fieldLife: c.Incarnation}).Info("an upstream is gone")
		}
	}
}

// logStatus writes a line on the domain and one for each queue that waits.
func (s *session) logStatus(st planner.Status) {
	s.log.WithFields(logrus.Fields{
		"Upstreams": st.Upstreams, "Usable": st.Schedulable, "CapacityMilliCPU": st.Capacity.CPU, "UsedMilliCPU": st.Used.CPU,
		"Runs": st.Runs, "BacklogBytes": int64(st.BacklogBytes), "Advisers": st.TicketRequesters, "BusyAdvisers": st.BusyTicketRequesters,
		"OverShare": st.OverShareAccounts,
	}).Info("domain status")
	for name, q := range st.Queues {
		s.log.WithFields(logrus.Fields{
			"Queue": name, "Steps": q.Steps, "Tasks": q.Tasks, "MilliCPU": q.WaitingCPU, "Late": q.PastDeadline,
			"Surplus": q.OverShare, "Unadvised": q.AwaitingTickets, "OldestMillis": int64(q.LongestWait),
		}).Info("work waits")
	}
}

// logReply writes a line for a request that was refused.
func (s *session) logReply(r planner.Request, a planner.Reply) {
	if a.Code == planner.OK {
		return
	}
	fields := logrus.Fields{"Code": a.Code.String(), "Reason": a.Message, "RetryAfter": a.RetryAfter}
	switch r := r.(type) {
	case planner.Submit:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.GetJob:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.Cancel:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.CountQueued:
		fields["Path"] = r.Address.Path
	}
	s.log.WithFields(fields).Info("refused a request")
}

// logAnswer writes a line for an order that wasn't carried out.
func (s *session) logAnswer(order string, run keeper.RunKey, to planner.Target, a planner.OrderResult) {
	fields := logrus.Fields{
		"Order": order, logger.FieldTask: run.Task.String(), fieldRun: run.Number, logger.FieldUpstream: to.ID, fieldLife: to.Incarnation,
	}
	switch a := a.(type) {
	case planner.Executed:
	case planner.Refused:
		s.log.WithFields(fields).WithField("Reason", a.Reason).Info("an upstream refused an order")
	case planner.Indeterminate:
		s.log.WithFields(fields).WithError(a.Err).Warn("an order has no answer")
	}
}

func (s *session) logAdvice(e planner.RequestTickets, a AdviceResponse, err error) {
	l := s.log.WithFields(logrus.Fields{
		"Step": e.Step.String(), "Via": e.Via, "Asked": len(e.Upstreams), "Good": len(a.Tickets), "Life": a.TicketTTL,
	})
	if err != nil {
		l.WithError(err).Warn("a question for advice has no answer")
		return
	}
	l.Debug("got advice")
}

func (s *session) logLook(l planner.Poll, err error) {
	s.log.WithFields(logrus.Fields{logger.FieldUpstream: l.Target.ID, fieldLife: l.Target.Incarnation}).WithError(err).Warn("a look at an upstream failed")
}
