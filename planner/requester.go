package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// The advice service handles one call of an instance at a time, so that the calls which all
// instances can make bound the starts of a domain. The rules in this file are meant for more
// waiting steps than the service can be asked about: they keep the service busy while answers
// are on their way, use the core instances too, and send no request that brings no start
// closer.

const (
	// requesterSilence is how long after its last heartbeat an instance still gets
	// requests.
	requesterSilence = 2 * clock.Second
	// maxPipelinedRequests is how many requests an instance may have in progress.
	maxPipelinedRequests = 2
	// pipelineLead is how long before the service has handled a request the next one of the
	// same instance may be sent. It covers the way of an answer to the leader and of the next
	// request to the service over a link of 2 Mbit/s.
	pipelineLead = 60 * clock.Millisecond
	// capacityHorizon is how far ahead the end of a run counts as expected capacity. It is
	// about as long as a ticket is valid.
	capacityHorizon = 2 * clock.Second
)

// ticketRequester is an instance that can call the advice service.
type ticketRequester struct {
	id          unit.Instance
	heartbeatAt clock.Millis
	// reserve is set for an instance that is used only while all others are busy: one that
	// also relays orders.
	reserve bool
	// requests is the number of requests in progress, and doneAt the time at which the
	// service will have handled them.
	requests int
	doneAt   clock.Millis
	// failedAt is when a request by the instance last failed.
	failedAt clock.Millis
}

// isIdle reports whether the instance is an ordinary one without a request in progress.
func (r *ticketRequester) isIdle() bool { return r.requests == 0 && !r.reserve }

// isAlive reports whether the instance has sent a heartbeat recently.
func (r *ticketRequester) isAlive(now clock.Millis) bool { return now-r.heartbeatAt < requesterSilence }

// isAvailable reports whether another request may be sent through the instance.
func (r *ticketRequester) isAvailable(now clock.Millis) bool {
	if !r.isAlive(now) || now-r.failedAt < ticketRetry {
		return false
	}
	return r.requests == 0 || r.requests < maxPipelinedRequests && r.doneAt <= now+pipelineLead
}

// add counts a request that takes the service the given time.
func (r *ticketRequester) add(now, cost clock.Millis) {
	if r.requests == 0 {
		r.doneAt = now
	}
	r.requests++
	r.doneAt = max(r.doneAt, now) + cost
}

// compare orders the available instances: idle ones first, then those whose service is free
// soonest, and those in reserve last.
func (r *ticketRequester) compare(o *ticketRequester) int {
	if r.reserve != o.reserve {
		return compareTickets(o.reserve, r.reserve)
	}
	if r.requests == 0 && o.requests == 0 {
		return cmp.Compare(r.id, o.id)
	}
	return cmp.Or(cmp.Compare(r.requests, o.requests), cmp.Compare(r.doneAt, o.doneAt), cmp.Compare(r.id, o.id))
}

// availableRequesters returns the instances through which a request may be sent, in the
// order of their use.
func (p *Planner) availableRequesters() []*ticketRequester {
	var list []*ticketRequester
	for _, r := range p.ticketRequesters {
		if r.isAvailable(p.now) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, (*ticketRequester).compare)
	return list
}

// expectsEnough reports whether the upstreams that were granted to a step are likely to have
// capacity for its tasks soon, so that a request about further ones can wait.
func (p *Planner) expectsEnough(s *step) bool {
	need, wanted := p.state.NeedOf(s.spec), p.pendingTasks(s)
	service := p.serviceOf(s.job)
	for _, g := range s.tickets.grants {
		if !p.canRun(s, g.upstream, service) {
			continue
		}
		if wanted -= timesFits(need, p.expectedCapacity(s, g.upstream)); wanted <= 0 {
			return true
		}
	}
	return false
}

// expectedCapacity returns the capacity that a step can expect on an upstream within
// capacityHorizon.
func (p *Planner) expectedCapacity(s *step, u *upstream) unit.Resources {
	expected := u.freeCapacity().Sub(p.urgentReserve(s, u))
	for _, r := range u.liveRuns {
		if r.stopRequested || p.endsWithin(r, capacityHorizon) || p.mayPreempt(s) && p.isPreemptible(r, s) {
			expected = expected.Add(r.need)
		}
	}
	return expected
}

// endsWithin reports whether a run is likely to end by itself within a time.
func (p *Planner) endsWithin(r *run, within clock.Millis) bool {
	return r.spec != nil && !r.spec.LongRunning && !r.job.Phase.IsFinal() && p.remaining(r) <= within
}
