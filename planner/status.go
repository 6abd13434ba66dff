package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Status sums up what waits and what room there is.
type Status struct {
	Upstreams, Schedulable int
	// Capacity and Used are those of the usable upstreams.
	Capacity, Used unit.Resources
	Runs           int
	// BacklogBytes is what the jobs that haven't ended take of the holder's memory, as
	// estimated.
	BacklogBytes unit.Bytes
	Queues       map[unit.Queue]*QueueStatus
	// OverShareAccounts are the accounts that have more than their share running.
	OverShareAccounts []unit.ClientAccount
	// BusyTicketRequesters of the TicketRequesters ask the advice service now.
	TicketRequesters, BusyTicketRequesters int
}

// QueueStatus sums up the steps of a queue that wait.
type QueueStatus struct {
	Steps, Tasks int
	// PastDeadline counts the steps that have passed their deadline.
	PastDeadline int
	// OverShare counts the steps of accounts that have more than their share running.
	OverShare int
	// AwaitingTickets counts the steps that wait for a first answer of the advice service.
	AwaitingTickets int
	// WaitingCPU is the need of the waiting tasks.
	WaitingCPU unit.MilliCPU
	// LongestWait is the longest wait since the job was accepted.
	LongestWait clock.Millis
}

// Status returns the planner's status.
func (p *Planner) Status() Status {
	s := Status{Upstreams: len(p.hosts), Runs: len(p.runs), BacklogBytes: p.backlog.total, TicketRequesters: len(p.advisers), Queues: map[unit.Queue]*QueueStatus{}}
	for _, h := range p.hosts {
		if h.isUsable() {
			s.Schedulable++
			s.Capacity = s.Capacity.Add(h.Capacity)
			s.Used = s.Used.Add(h.Used)
		}
	}
	for _, a := range p.advisers {
		if a.busy {
			s.BusyTicketRequesters++
		}
	}
	s.OverShareAccounts = slices.Sorted(maps.Keys(p.shares.over))
	for _, w := range p.waiting {
		p.addWaiting(&s, w)
	}
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
		q.PastDeadline++
	}
	if w.rank.over {
		q.OverShare++
	}
	if w.job.Queue.RequiresTicket && (w.advice == nil || len(w.advice.good)+len(w.advice.bad) == 0) {
		q.AwaitingTickets++
	}
}
