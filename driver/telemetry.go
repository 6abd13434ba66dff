package driver

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
)

// metrics are the metrics of the leader's sessions.
type metrics struct {
	request, commit, start, advice   tally.Histogram
	polls, jobsAccepted, runsStarted tally.Counter
	runsEnded                        map[keeper.RunOutcome]tally.Counter
	evacuatedZones, evacuatingRuns   tally.Gauge
	// lag and pollInterval are in milliseconds.
	lag, pollInterval tally.Gauge
	// forecastError and estimateError are the mean errors of the logarithms of running
	// times; forecastMedian and forecastHigh the parts of the runs that ended before their
	// median and 0.9 quantile, which should be 0.5 and 0.9.
	forecastError, estimateError, forecastMedian, forecastHigh tally.Gauge
}

// buckets range from one millisecond, the time of a local answer, to a few seconds.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func newMetrics(s tally.Scope) metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("domain")
	m := metrics{
		request:      s.Histogram("request_seconds", buckets),
		commit:       s.Histogram("commit_seconds", buckets),
		start:        s.Histogram("start_seconds", buckets),
		advice:       s.Histogram("advice_seconds", buckets),
		polls:        s.Counter("looks"),
		jobsAccepted: s.Counter("jobs_accepted"),
		runsStarted:  s.Counter("runs_started"),
		runsEnded:    map[keeper.RunOutcome]tally.Counter{},

		evacuatedZones: s.Gauge("evacuated_zones"),
		evacuatingRuns: s.Gauge("evacuating_runs"),
		lag:            s.Gauge("lag_millis"),
		pollInterval:   s.Gauge("poll_interval_millis"),
		forecastError:  s.Gauge("forecast_log_error"),
		estimateError:  s.Gauge("estimate_log_error"),
		forecastMedian: s.Tagged(map[string]string{"quantile": "0.5"}).Gauge("forecast_earlier"),
		forecastHigh:   s.Tagged(map[string]string{"quantile": "0.9"}).Gauge("forecast_earlier"),
	}
	for outcome, name := range outcomeNames {
		m.runsEnded[outcome] = s.Tagged(map[string]string{"how": name}).Counter("runs_ended")
	}
	return m
}

// updateEvacuation sets the gauges of the evacuated zones and the runs left there. They are 0
// on an instance that doesn't lead.
func (m *metrics) updateEvacuation(st planner.Status) {
	m.evacuatedZones.Update(float64(len(st.EvacuatedZones)))
	m.evacuatingRuns.Update(float64(st.EvacuatingRuns))
}

// outcomeNames are the values of the tag how and of the log field How.
var outcomeNames = map[keeper.RunOutcome]string{
	keeper.RunLost: "Lost", keeper.RunDone: "Done", keeper.RunFailed: "Failed", keeper.RunStopped: "Stopped",
	keeper.RunExpired: "Lapsed", keeper.RunGangBroken: "Broken", keeper.RunGangIncomplete: "Alone",
}

// phaseNames are the values of the log field Phase.
var phaseNames = map[keeper.Phase]string{
	keeper.Queued: "Queued", keeper.Running: "Running", keeper.Completed: "Completed",
	keeper.Failed: "Failed", keeper.Cancelled: "Cancelled",
}

// Keys of log fields.
const (
	fieldRun         = "Run"
	fieldIncarnation = "Life"
	// fieldEvacuatedZones are all zones that are evacuated.
	fieldEvacuatedZones = "EvacuatedZones"
)

// logCommands logs committed commands and counts them in the metrics. forecasts are those of
// the runs that they start.
func (s *session) logCommands(commands []keeper.Command, forecasts map[keeper.RunKey]*planner.RunForecast) {
	for _, c := range commands {
		switch c := c.(type) {
		case keeper.AcceptJob:
			s.d.metrics.jobsAccepted.Inc(1)
			s.log.WithFields(logrus.Fields{
				logger.FieldRequest: c.ID, "Account": c.Account, "Queue": c.Queue.Name, "Steps": len(c.Submission.Steps),
			}).Info("job accepted")
		case keeper.EndJob:
			s.log.WithFields(logrus.Fields{logger.FieldRequest: c.ID, "Phase": phaseNames[c.Phase]}).Info("job ended")
		case keeper.StartRun:
			s.d.metrics.runsStarted.Inc(1)
			fields := forecastFields(forecasts[keeper.RunKey{Task: c.Task, Number: c.Number}])
			fields[logger.FieldTask], fields[fieldRun] = c.Task.String(), c.Number
			fields[logger.FieldUpstream], fields[fieldIncarnation] = c.Upstream, c.Incarnation
			s.log.WithFields(fields).Info("starting a run")
		case keeper.EndRun:
			s.d.metrics.runsEnded[c.Outcome].Inc(1)
			s.log.WithFields(logrus.Fields{
				logger.FieldTask: c.Task.String(), fieldRun: c.Number, logger.FieldUpstream: c.Upstream, "How": outcomeNames[c.Outcome], "Noted": c.EndSeq,
			}).Info("run ended")
		case keeper.SetConfig:
			s.log.WithFields(logrus.Fields{"ConfigVersion": c.Config.Version, "Queues": len(c.Config.Queues)}).Info("configuration changed")
		case keeper.SetUpstream:
			s.log.WithFields(logrus.Fields{
				logger.FieldUpstream: c.Upstream.ID, fieldIncarnation: c.Upstream.Incarnation, "Draining": c.Upstream.Draining, "Address": c.Upstream.Address,
			}).Info("upstream added or updated")
		case keeper.RemoveUpstream:
			s.log.WithFields(logrus.Fields{logger.FieldUpstream: c.ID, fieldIncarnation: c.Incarnation}).Info("upstream removed")
		case keeper.SetEvacuation:
			s.log.WithFields(logrus.Fields{"Zone": c.Zone, "Evacuated": c.Evacuated}).Info("evacuation of a zone changed")
		}
	}
}

// forecastFields returns the log fields of a run's forecast and of what it is based on.
func forecastFields(f *planner.RunForecast) logrus.Fields {
	if f == nil {
		return logrus.Fields{}
	}
	return logrus.Fields{
		"MedianMillis": int64(f.Median), "HighMillis": int64(f.High), "EstimateMillis": int64(f.Estimate),
		"Slowness": round(f.Slowness), "Weight": round(f.Weight), "Siblings": round(f.Siblings),
	}
}

// round rounds to two decimal places.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// reportForecast updates the metrics of the forecasts.
func (m *metrics) reportForecast(f planner.ForecastStatus) {
	if f.Ends == 0 {
		return
	}
	m.forecastError.Update(f.Error)
	m.estimateError.Update(f.EstimateError)
	m.forecastMedian.Update(float64(f.EarlierThanMedian) / float64(f.Ends))
	m.forecastHigh.Update(float64(f.EarlierThanHigh) / float64(f.Ends))
}

// logStatus logs the status of the domain and that of each queue with a backlog.
func (s *session) logStatus(st planner.Status) {
	s.d.metrics.reportForecast(st.Forecast)
	s.log.WithFields(logrus.Fields{
		"Upstreams": st.Upstreams, "IgnoredReports": st.IgnoredReports, "IgnoredService": fmt.Sprintf("%.64s", st.IgnoredService), "Usable": st.Schedulable, "CapacityMilliCPU": st.Capacity.CPU, "UsedMilliCPU": st.Used.CPU,
		"Runs": st.Runs, "Stopping": st.Stopping, "BacklogBytes": int64(st.BacklogBytes), "Advisers": st.TicketRequesters, "BusyAdvisers": st.BusyTicketRequesters,
		"OverShare": st.OverShareAccounts, fieldEvacuatedZones: st.EvacuatedZones, "EvacuatingRuns": st.EvacuatingRuns,
		"ForecastEnds": st.Forecast.Ends, "ForecastEarlierThanMedian": st.Forecast.EarlierThanMedian,
		"ForecastEarlierThanHigh": st.Forecast.EarlierThanHigh, "ForecastLogError": round(st.Forecast.Error), "EstimateLogError": round(st.Forecast.EstimateError),
	}).Info("domain status")
	for name, q := range st.Queues {
		s.log.WithFields(logrus.Fields{
			"Queue": name, "Steps": q.Steps, "Tasks": q.Tasks, "MilliCPU": q.WaitingCPU, "Late": q.Late,
			"Surplus": q.OverShare, "OverWeight": q.Surplus, "Unadvised": q.AwaitingTickets, "OldestMillis": int64(q.LongestWait),
		}).Info("queue backlog")
	}
}

// logReply logs a request that wasn't answered with OK.
func (s *session) logReply(r planner.Request, reply planner.Reply) {
	if reply.Code == planner.OK {
		return
	}
	fields := logrus.Fields{"Code": reply.Code.String(), "Reason": reply.Message, "RetryAfter": reply.RetryAfter}
	switch r := r.(type) {
	case planner.Submit:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.GetJob:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.Cancel:
		fields[logger.FieldRequest], fields["Path"] = r.ID, r.Address.Path
	case planner.CountQueued:
		fields["Path"] = r.Address.Path
	case planner.Evacuate:
		fields["Zone"], fields["Withdraw"] = r.Zone, r.Withdraw
	}
	s.log.WithFields(fields).Info("request refused")
}

// logOrderResult logs an order that was refused or has no answer.
func (s *session) logOrderResult(order string, run keeper.RunKey, to planner.Target, result planner.OrderResult) {
	if _, ok := result.(planner.Executed); ok {
		// Thousands of orders a second are executed.
		return
	}
	fields := logrus.Fields{
		"Order": order, logger.FieldTask: run.Task.String(), fieldRun: run.Number, logger.FieldUpstream: to.ID, fieldIncarnation: to.Incarnation,
	}
	switch a := result.(type) {
	case planner.Refused:
		s.log.WithFields(fields).WithField("Reason", a.Reason).Info("upstream refused an order")
	case planner.Indeterminate:
		s.log.WithFields(fields).WithError(a.Err).Warn("result of an order is unknown")
	}
}

// logMigration logs that a run leaves an evacuated zone.
func (s *session) logMigration(e planner.Migration) {
	s.log.WithFields(logrus.Fields{
		logger.FieldTask: e.Run.Task.String(), fieldRun: e.Run.Number, logger.FieldUpstream: e.From, "ReservedOn": e.To, "LeftMillis": int64(e.Remaining),
	}).Info("stopping a run in an evacuated zone to start it elsewhere")
}

// logQuarantine logs that an upstream gets no new tasks for a time.
func (s *session) logQuarantine(e planner.Quarantine) {
	s.log.WithFields(logrus.Fields{
		logger.FieldUpstream: e.Upstream, "Failures": e.Failures, "QuarantineMillis": int64(e.Span),
	}).Info("quarantined an upstream")
}

func (s *session) logTickets(e planner.RequestTickets, response TicketResponse, err error) {
	l := s.log.WithFields(logrus.Fields{
		"Step": e.Step.String(), "Via": e.Requester, "Asked": len(e.Upstreams), "Good": len(response.Tickets), "Life": response.TicketTTL,
	})
	if err != nil {
		l.WithError(err).Warn("ticket request failed")
		return
	}
	l.Debug("received tickets")
}

func (s *session) logPollFailure(req planner.Poll, err error) {
	s.log.WithFields(logrus.Fields{logger.FieldUpstream: req.Target.ID, fieldIncarnation: req.Target.Incarnation}).WithError(err).Warn("poll of an upstream failed")
}
