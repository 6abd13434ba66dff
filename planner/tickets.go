package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxUpstreamsPerRequest is the advice service's limit on the upstreams of one request.
	maxUpstreamsPerRequest = 100
	// ticketMargin is the part of a ticket's validity that is left for the commit of the
	// start and for sending it to the upstream.
	ticketMargin = 150 * clock.Millisecond
	// ticketTimeoutSlack is how much longer than the service's own time a request may take.
	ticketTimeoutSlack = 1500 * clock.Millisecond
	// longTicketRequest is the base time of a service call from which on a request counts
	// as long. Long requests leave some instances free, so that urgent steps find one.
	longTicketRequest = 150 * clock.Millisecond
	// sparedRequesters is the most instances that long requests leave free. They leave fewer
	// than half of the instances free.
	sparedRequesters = 2
	// gangTasksPerRequest is the number of a gang's tasks for which one more concurrent
	// request is sent: of the upstreams in a request about a third may run the gang, and
	// most of those have no free capacity.
	gangTasksPerRequest = 5
	// requestersPerRequest limits the concurrent requests of one step to one per this many
	// instances.
	requestersPerRequest = 16
	// ticketRetry is the wait after a failed request.
	ticketRetry = 100 * clock.Millisecond
)

// stepTickets holds the answers of the advice service for a step. Whether an upstream may
// run the step doesn't change during an incarnation; only tickets expire.
type stepTickets struct {
	// granted holds the upstreams that may run the step; grants holds the same as a list.
	granted map[unit.Upstream]*grant
	grants  []*grant
	denied  map[unit.Upstream]bool
	// requested holds the upstreams in requests that are in progress, each with the number of
	// its request. requests is the number of these.
	requested map[unit.Upstream]int
	requests  int
	retryAt   clock.Millis
	// renewals are the upstreams whose tickets have to be renewed.
	renewals []unit.Upstream
	// exhaustedUntil is the time before which no unrequested upstream is searched for,
	// since there was none.
	exhaustedUntil clock.Millis
	// exhaustedFleet is the fleet of the last search that found no unrequested upstream, and
	// nextSearchAt when to search again although the fleet is the same.
	exhaustedFleet uint64
	nextSearchAt   clock.Millis
}

// grant is an upstream that may run a step, with its ticket.
type grant struct {
	upstream   *upstream
	ticket     string
	validUntil clock.Millis
}

// setTicket records a ticket for an upstream.
func (t *stepTickets) setTicket(u *upstream, ticket string, until clock.Millis) {
	if g := t.granted[u.ID]; g != nil {
		g.ticket, g.validUntil = ticket, until
		return
	}
	g := &grant{u, ticket, until}
	t.granted[u.ID] = g
	t.grants = append(t.grants, g)
}

// removeTicket drops the ticket for an upstream.
func (t *stepTickets) removeTicket(id unit.Upstream) {
	if g := t.granted[id]; g != nil {
		delete(t.granted, id)
		t.grants = slices.DeleteFunc(t.grants, func(o *grant) bool { return o == g })
	}
}

// validUntil returns the time until which the ticket for an upstream is valid. It returns 0
// if there is none.
func (t *stepTickets) validUntil(id unit.Upstream) clock.Millis {
	if g := t.granted[id]; g != nil {
		return g.validUntil
	}
	return 0
}

// HandleHeartbeat handles an instance's heartbeat. It records no command, so the caller may
// send the reply at once.
func (p *Planner) HandleHeartbeat(now clock.Millis, heartbeat Heartbeat) Reply {
	p.now = max(p.now, now)
	if heartbeat.RequestsTickets {
		requester := p.ticketRequesters[heartbeat.From]
		if requester == nil {
			requester = &ticketRequester{id: heartbeat.From}
			p.ticketRequesters[heartbeat.From] = requester
			p.dirty = true
		}
		requester.heartbeatAt, requester.reserve = p.now, heartbeat.RelaysOrders
	}
	return Reply{HTTPLimits: p.state.Config.HTTPLimits}
}

// forgetTickets drops the answers about an upstream's former incarnation, also those that
// have yet to arrive.
func (p *Planner) forgetTickets(id unit.Upstream) {
	for _, s := range p.steps {
		if s.tickets != nil {
			s.tickets.removeTicket(id)
			delete(s.tickets.denied, id)
			delete(s.tickets.requested, id)
			s.tickets.nextSearchAt = 0
		}
	}
}

func (p *Planner) expireTicket(id keeper.StepID, upstreamID unit.Upstream) {
	if s := p.steps[id]; s != nil && s.tickets != nil {
		if g := s.tickets.granted[upstreamID]; g != nil {
			g.validUntil = 0
			s.blocked = false
		}
	}
}

// hasTicket reports whether a task of the step can start on an upstream without a new
// ticket.
func (p *Planner) hasTicket(s *step, u *upstream) bool {
	return !s.job.Queue.RequiresTicket || s.tickets.validUntil(u.ID) > p.now+ticketMargin
}

// hasGrant reports whether the step is known to be allowed on an upstream.
func (s *step) hasGrant(u *upstream) bool {
	if !s.job.Queue.RequiresTicket {
		return true
	}
	if s.tickets == nil {
		return false
	}
	return s.tickets.granted[u.ID] != nil
}

// hasAnyGrant reports whether the step is known to be allowed on any upstream.
func (s *step) hasAnyGrant() bool {
	return !s.job.Queue.RequiresTicket || s.tickets != nil && len(s.tickets.granted) > 0
}

// unrequested returns up to maxUpstreamsPerRequest schedulable upstreams about which the
// service has not been asked for the step, those with the most free CPU first.
func (p *Planner) unrequested(s *step) []unit.Upstream {
	if len(s.tickets.granted)+len(s.tickets.denied)+len(s.tickets.requested) >= len(p.upstreams) {
		return nil
	}
	service := p.serviceOf(s.job)
	list := p.sortedByFreeCPU(service)
	// Where other upstreams can't get tasks, as in an evacuated zone, the number above doesn't
	// tell that the service has been asked about all that can. Which best-effort tasks an
	// upstream takes depends on what runs there.
	fleet := p.fleets[service]
	if fleet == s.tickets.exhaustedFleet && p.now < s.tickets.nextSearchAt && !s.spec.BestEffortCPU {
		return nil
	}
	var ids []unit.Upstream
	for _, u := range list {
		if len(ids) == maxUpstreamsPerRequest {
			break
		}
		if s.tickets.granted[u.ID] == nil && !s.tickets.denied[u.ID] && s.tickets.requested[u.ID] == 0 && p.canRun(s, u, service) {
			ids = append(ids, u.ID)
		}
	}
	if len(ids) == 0 {
		s.tickets.exhaustedFleet, s.tickets.nextSearchAt = fleet, p.now+fleetSearchInterval
	}
	return ids
}

// fleetSearchInterval is the time between two searches of a step for an unrequested upstream
// while the fleet is the same. It bounds the effect of two fleets with the same hash.
const fleetSearchInterval = 5 * clock.Second

// byFreeCPUTTL is how long the order of the upstreams by free CPU is kept. The free CPU
// changes by about as much while a request is in progress.
const byFreeCPUTTL = 50 * clock.Millisecond

// sortedByFreeCPU returns the schedulable upstreams of a service, those with the most free
// CPU first.
func (p *Planner) sortedByFreeCPU(service string) []*upstream {
	if p.byFreeCPU == nil || p.now-p.byFreeCPUAt >= byFreeCPUTTL {
		p.byFreeCPU, p.byFreeCPUAt = map[string][]*upstream{}, p.now
		p.fleets = map[string]uint64{}
		list := make([]upstreamFreeCPU, 0, len(p.byID))
		for _, u := range p.byID {
			if p.takesTasks(u) {
				list = append(list, upstreamFreeCPU{u, u.freeCapacity().CPU})
			}
		}
		slices.SortFunc(list, func(a, b upstreamFreeCPU) int {
			return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.upstream.ID, b.upstream.ID))
		})
		for _, x := range list {
			p.byFreeCPU[x.upstream.Service] = append(p.byFreeCPU[x.upstream.Service], x.upstream)
			if !x.upstream.health.isQuarantined(p.now) {
				p.fleets[x.upstream.Service] += x.upstream.hash
			}
		}
	}
	return p.byFreeCPU[service]
}

// upstreamFreeCPU is an upstream with its free CPU.
type upstreamFreeCPU struct {
	upstream *upstream
	free     unit.MilliCPU
}

// compareFreeCPU orders upstreams by free CPU, the most first.
func compareFreeCPU(a, b *upstream) int {
	return cmp.Or(cmp.Compare(b.freeCapacity().CPU, a.freeCapacity().CPU), cmp.Compare(a.ID, b.ID))
}

// renewTickets has the tickets for upstreams that were granted renewed.
func (p *Planner) renewTickets(s *step, upstreams []*upstream) {
	t := s.tickets
	if t.requests > 0 || p.now < t.retryAt {
		return
	}
	for _, u := range upstreams {
		if len(t.renewals) < maxUpstreamsPerRequest && !slices.Contains(t.renewals, u.ID) {
			t.renewals = append(t.renewals, u.ID)
		}
	}
}

// sendTicketRequests sends the ticket requests of the waiting steps to available instances,
// in the order of the steps, then those of the steps of which a run is to move.
func (p *Planner) sendTicketRequests() {
	available := p.availableRequesters()
	spared := p.sparedRequesters()
	p.adviceScarce = !slices.ContainsFunc(available, (*ticketRequester).isIdle)
	for _, s := range slices.Concat(p.waiting, p.evacuation.wanting) {
		if len(available) == 0 {
			return
		}
		if !s.job.Queue.RequiresTicket {
			continue
		}
		keep := 0
		if s.job.Queue.AdviceBaseMillis >= float64(longTicketRequest) {
			keep = spared
		}
		for len(available) > keep {
			if !available[0].isIdle() && (s.rank.overShare || s.rank.surplus) {
				break
			}
			ids := p.nextTicketRequest(s)
			if len(ids) == 0 {
				break
			}
			p.requestTickets(s, ids, available[0])
			available = available[1:]
		}
	}
}

// sparedRequesters returns the number of instances that long requests leave free. It is less
// than half of those that are alive: otherwise no long request would be sent where there are
// only few.
func (p *Planner) sparedRequesters() int {
	alive := 0
	for _, r := range p.ticketRequesters {
		if r.isAlive(p.now) {
			alive++
		}
	}
	return max(0, min(sparedRequesters, (alive-1)/2))
}

// nextTicketRequest returns the upstreams of the next request for a step: those whose
// tickets have expired, else those about which the service has not been asked.
func (p *Planner) nextTicketRequest(s *step) []unit.Upstream {
	if s.tickets == nil {
		s.tickets = &stepTickets{granted: map[unit.Upstream]*grant{}, denied: map[unit.Upstream]bool{}, requested: map[unit.Upstream]int{}}
	}
	t := s.tickets
	switch {
	case t.requests >= p.maxTicketRequests(s) || p.now < t.retryAt:
		return nil
	case len(t.renewals) > 0:
		return t.renewals
	}
	if p.now < t.exhaustedUntil {
		return nil
	}
	if p.passTicketSearches >= maxSearches {
		p.dirty = true
		return nil
	}
	if !p.adviceScarce || !p.expectsEnough(s) {
		if ids := p.unrequested(s); len(ids) > 0 {
			return ids
		}
	}
	p.passTicketSearches++
	t.exhaustedUntil = p.now + blockedRetry
	return nil
}

// maxTicketRequests returns how many requests a step may have in progress. A gang without
// any grant sends several at once: it needs many upstreams, and one request after the other
// would take most of its time.
//
// It is meant for large gangs on many upstreams that are nearly full.
func (p *Planner) maxTicketRequests(s *step) int {
	if !s.spec.Gang || len(s.tickets.granted) > 0 {
		return 1
	}
	return max(1, min(s.spec.Count/gangTasksPerRequest, len(p.ticketRequesters)/requestersPerRequest))
}

// requestTickets has an instance request tickets from the service.
func (p *Planner) requestTickets(s *step, ids []unit.Upstream, requester *ticketRequester) {
	requester.add(p.now, clock.Millis(s.job.Queue.AdviceBaseMillis+s.job.Queue.AdvicePerUpstreamMillis*float64(len(ids))))
	s.tickets.requests++
	p.lastTicketRequest++
	for _, id := range ids {
		s.tickets.requested[id] = p.lastTicketRequest
	}
	s.tickets.renewals = nil
	p.addEffect(RequestTickets{Number: p.lastTicketRequest, Requester: requester.id, Step: s.id, Upstreams: ids, Timeout: requester.doneAt - p.now + ticketTimeoutSlack})
}

// HandleTickets handles the result of a ticket request. tickets holds the tickets that were
// granted; it is nil if err isn't. A ttl of 0 means the queue's default.
func (p *Planner) HandleTickets(now clock.Millis, request RequestTickets, tickets map[unit.Upstream]string, ttl clock.Millis, err error) {
	p.now = max(p.now, now)
	p.dirty = true
	if requester := p.ticketRequesters[request.Requester]; requester != nil {
		requester.requests--
		if err != nil {
			requester.failedAt = p.now
		}
	}
	s := p.steps[request.Step]
	if s == nil || s.tickets == nil {
		return
	}
	s.blocked = false
	t := s.tickets
	hadGrant := s.hasAnyGrant()
	t.requests--
	answered := make([]unit.Upstream, 0, len(request.Upstreams))
	for _, id := range request.Upstreams {
		// An upstream that has restarted or gone since then is not in the request any more.
		if t.requested[id] == request.Number {
			delete(t.requested, id)
			answered = append(answered, id)
		}
	}
	if err != nil {
		t.retryAt, t.nextSearchAt = p.now+ticketRetry, 0
		return
	}
	if ttl == 0 {
		ttl = s.job.Queue.TicketTTL
	}
	for _, id := range answered {
		ticket, ok := tickets[id]
		if !ok {
			t.denied[id] = true
			t.removeTicket(id)
			continue
		}
		if u := p.upstreams[id]; u != nil {
			t.setTicket(u, ticket, p.now+ttl)
		}
	}
	p.timeGrant(s, hadGrant)
}
