package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Status summarizes the waiting steps and the capacity of a domain.
type Status struct {
	// Schedulable counts the upstreams that may get new tasks.
	Upstreams, Schedulable int
	// IgnoredReports counts this leader's reports of services that no configuration names.
	// IgnoredService is that of the last one.
	IgnoredReports int
	IgnoredService string
	// Capacity and Used are the sums over the schedulable upstreams.
	Capacity, Used unit.Resources
	Runs           int
	// Stopping counts the runs with a stop that no upstream has executed yet.
	Stopping int
	// BacklogBytes is the estimated memory of the jobs that haven't ended.
	BacklogBytes unit.Bytes
	Queues       map[unit.Queue]*QueueStatus
	// OverShareAccounts are the accounts that have more running than their share, sorted.
	OverShareAccounts []unit.ClientAccount
	// TicketRequesters counts the instances that can call the advice service,
	// BusyTicketRequesters those with a request in progress.
	TicketRequesters, BusyTicketRequesters int
	// EvacuatedZones are sorted. EvacuatingRuns counts the live runs there.
	EvacuatedZones []unit.AvailabilityZone
	EvacuatingRuns int
	// Forecast tells how good the forecasts were.
	Forecast ForecastStatus
}

// QueueStatus summarizes the waiting steps of a queue.
type QueueStatus struct {
	Steps, Tasks int
	// Late counts the steps that can't meet their deadline any more.
	Late int
	// OverShare counts the steps that wait because their account is over its share.
	OverShare int
	// Surplus counts the steps of jobs that exceed their account's entitlement.
	Surplus int
	// AwaitingTickets counts the steps for which the advice service hasn't answered any
	// request.
	AwaitingTickets int
	// WaitingCPU is the sum of the waiting tasks' CPU needs.
	WaitingCPU unit.MilliCPU
	// LongestWait is the longest time that any of these steps' jobs has waited since it was
	// accepted.
	LongestWait clock.Millis
}

// Status returns the current status.
func (p *Planner) Status() Status {
	s := Status{Upstreams: len(p.upstreams), IgnoredReports: p.ignoredReports, IgnoredService: p.ignoredService, Runs: len(p.runs), Stopping: len(p.stopping), BacklogBytes: p.backlog.total, TicketRequesters: len(p.ticketRequesters), Forecast: p.forecastStatus, Queues: map[unit.Queue]*QueueStatus{}}
	for _, u := range p.upstreams {
		if p.takesTasks(u) {
			s.Schedulable++
			s.Capacity = s.Capacity.Add(u.Capacity)
			s.Used = s.Used.Add(u.Used)
		}
	}
	for _, requester := range p.ticketRequesters {
		if requester.requests > 0 {
			s.BusyTicketRequesters++
		}
	}
	s.OverShareAccounts = slices.Sorted(maps.Keys(p.shares.overShare))
	for _, w := range p.waiting {
		p.addWaiting(&s, w)
	}
	p.addEvacuation(&s)
	return s
}

func (p *Planner) addWaiting(s *Status, w *step) {
	name := w.job.Queue.Name
	q := s.Queues[name]
	if q == nil {
		q = &QueueStatus{}
		s.Queues[name] = q
	}
	n := len(p.pending(w))
	q.Steps++
	q.Tasks += n
	q.WaitingCPU += unit.MilliCPU(n) * w.spec.Need.CPU
	q.LongestWait = max(q.LongestWait, p.now-w.job.AcceptedAt)
	if w.rank.tier != inTime {
		q.Late++
	}
	if w.rank.overShare {
		q.OverShare++
	}
	if w.rank.surplus {
		q.Surplus++
	}
	if w.job.Queue.RequiresTicket && (w.tickets == nil || len(w.tickets.granted)+len(w.tickets.denied) == 0) {
		q.AwaitingTickets++
	}
}
