package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxAsked bounds the upstreams of one question; the advice service's
	// bound.
	maxAsked = 100
	// ticketMargin is kept of a ticket's life for the commit of the start and
	// for its way to the upstream.
	ticketMargin = 150 * clock.Millisecond
	// adviceSlack is what a question may take beyond the service's own time.
	adviceSlack = 1500 * clock.Millisecond
	// longAdvice is the service's least time for a call from which on a question
	// may not take the last free instances, so that urgent steps find one.
	longAdvice = 150 * clock.Millisecond
	// sparedAdvisers is how many free instances long questions leave.
	sparedAdvisers = 2
	// adviserSilence is for how long an instance that hasn't attended is not
	// asked.
	adviserSilence = 2 * clock.Second
	// askedPerQuestion is how many tasks of a gang call for one more question at
	// once: of the upstreams of a question about a third may run it, and on most of
	// those it finds no room.
	askedPerQuestion = 5
	// askingShare bounds the questions that one step asks at once: one for so many
	// instances.
	askingShare = 16
	// adviceRetry is the wait after a question without an answer.
	adviceRetry = 100 * clock.Millisecond
)

// advice is what is known of the upstreams that may run a step. What the
// service says of an upstream doesn't change in its life; only tickets end.
type advice struct {
	// good holds what was granted; grants are the same in a list.
	good   map[unit.Upstream]*grant
	grants []*grant
	bad    map[unit.Upstream]bool
	// asked are the upstreams that are being asked about, and questions in how many
	// questions.
	asked     map[unit.Upstream]bool
	questions int
	retryAt   clock.Millis
	// wanted are the upstreams whose tickets have to be renewed.
	wanted []unit.Upstream
	// exhaustedUntil is until when no upstream is left that wasn't asked about.
	exhaustedUntil clock.Millis
}

// grant is an upstream that may run a step, with the ticket for it.
type grant struct {
	host   *host
	ticket string
	until  clock.Millis
}

// accept notes a ticket for an upstream.
func (a *advice) accept(h *host, ticket string, until clock.Millis) {
	if g := a.good[h.ID]; g != nil {
		g.ticket, g.until = ticket, until
		return
	}
	g := &grant{h, ticket, until}
	a.good[h.ID] = g
	a.grants = append(a.grants, g)
}

// withdraw drops the ticket for an upstream.
func (a *advice) withdraw(id unit.Upstream) {
	if g := a.good[id]; g != nil {
		delete(a.good, id)
		a.grants = slices.DeleteFunc(a.grants, func(o *grant) bool { return o == g })
	}
}

// validUntil returns until when the ticket for an upstream is valid; 0 if there is
// none.
func (a *advice) validUntil(id unit.Upstream) clock.Millis {
	if g := a.good[id]; g != nil {
		return g.until
	}
	return 0
}

// adviser is an instance that can ask the service, one question at a time.
type adviser struct {
	id       unit.Instance
	attended clock.Millis
	busy     bool
	// failedAt holds back an instance whose question got no answer.
	failedAt clock.Millis
}

// HandleHeartbeat takes a sign of life of an instance. It decides nothing, so its reply
// may be given at once.
func (p *Planner) HandleHeartbeat(now clock.Millis, sign Heartbeat) Reply {
	p.now = max(p.now, now)
	if sign.RequestsTickets {
		a := p.advisers[sign.From]
		if a == nil {
			a = &adviser{id: sign.From}
			p.advisers[sign.From] = a
			p.dirty = true
		}
		a.attended = p.now
	}
	return Reply{HTTPLimits: p.state.Config.HTTPLimits}
}

// forgetAdvice drops what was said of an upstream's former life.
func (p *Planner) forgetAdvice(id unit.Upstream) {
	for _, s := range p.steps {
		if s.advice != nil {
			s.advice.withdraw(id)
			delete(s.advice.bad, id)
		}
	}
}

func (p *Planner) dropTicket(id keeper.StepID, host unit.Upstream) {
	if s := p.steps[id]; s != nil && s.advice != nil {
		if g := s.advice.good[host]; g != nil {
			g.until = 0
			s.blocked = false
		}
	}
}

// hasTicket reports whether a start there needs no question first.
func (p *Planner) hasTicket(s *step, h *host) bool {
	return !s.job.Queue.RequiresTicket || s.advice.validUntil(h.ID) > p.now+ticketMargin
}

// mayRun reports whether the step may run on an upstream, as far as is known.
func (s *step) mayRun(h *host) bool {
	if !s.job.Queue.RequiresTicket {
		return true
	}
	if s.advice == nil {
		return false
	}
	return s.advice.good[h.ID] != nil
}

// isAdvised reports whether something is known of the upstreams that may run
// a step.
func (s *step) isAdvised() bool {
	return !s.job.Queue.RequiresTicket || s.advice != nil && len(s.advice.good) > 0
}

// unasked returns the usable upstreams that the service wasn't asked about,
// those with most room first.
func (p *Planner) unasked(s *step) []unit.Upstream {
	if len(s.advice.good)+len(s.advice.bad)+len(s.advice.asked) >= len(p.hosts) {
		return nil
	}
	service := p.serviceOf(s.job)
	var ids []unit.Upstream
	for _, h := range p.byRoom(service) {
		if len(ids) == maxAsked {
			break
		}
		if s.advice.good[h.ID] == nil && !s.advice.bad[h.ID] && !s.advice.asked[h.ID] && p.suits(s, h, service) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// byRoomLife is for how long the order of the upstreams by room holds. The room
// changes as much again while a question is answered.
const byRoomLife = 50 * clock.Millisecond

// byRoom returns the usable upstreams of a service, those with most room first.
func (p *Planner) byRoom(service string) []*host {
	if p.byFree == nil || p.now-p.byFreeAt >= byRoomLife {
		p.byFree, p.byFreeAt = map[string][]*host{}, p.now
		list := make([]freeHost, 0, len(p.byID))
		for _, h := range p.byID {
			if h.isUsable() {
				list = append(list, freeHost{h, h.free().CPU})
			}
		}
		slices.SortFunc(list, func(a, b freeHost) int {
			return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.host.ID, b.host.ID))
		})
		for _, x := range list {
			p.byFree[x.host.Service] = append(p.byFree[x.host.Service], x.host)
		}
	}
	return p.byFree[service]
}

// freeHost is an upstream with its free processors.
type freeHost struct {
	host *host
	free unit.MilliCPU
}

// compareRoom orders upstreams, those with most free processors first.
func compareRoom(a, b *host) int {
	return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.ID, b.ID))
}

// askAgain asks for new tickets on upstreams that are known to be good.
func (p *Planner) askAgain(s *step, hosts []*host) {
	a := s.advice
	if a.questions > 0 || p.now < a.retryAt {
		return
	}
	for _, h := range hosts {
		if len(a.wanted) < maxAsked && !slices.Contains(a.wanted, h.ID) {
			a.wanted = append(a.wanted, h.ID)
		}
	}
}

// sendQuestions gives the questions of the waiting steps to free instances, in
// the order of the steps.
func (p *Planner) sendQuestions() {
	var free []*adviser
	for _, a := range p.advisers {
		if !a.busy && p.now-a.attended < adviserSilence && p.now-a.failedAt >= adviceRetry {
			free = append(free, a)
		}
	}
	slices.SortFunc(free, func(a, b *adviser) int { return cmp.Compare(a.id, b.id) })
	for _, s := range p.waiting {
		if len(free) == 0 {
			return
		}
		if !s.job.Queue.RequiresTicket {
			continue
		}
		keep := 0
		if s.job.Queue.AdviceBase >= float64(longAdvice) {
			keep = sparedAdvisers
		}
		for len(free) > keep {
			q := p.question(s)
			if len(q) == 0 {
				break
			}
			p.ask(s, q, free[0])
			free = free[1:]
		}
	}
}

// question returns the upstreams to ask about for a step: those whose tickets
// have ended, else those that nothing is known of.
func (p *Planner) question(s *step) []unit.Upstream {
	if s.advice == nil {
		s.advice = &advice{good: map[unit.Upstream]*grant{}, bad: map[unit.Upstream]bool{}, asked: map[unit.Upstream]bool{}}
	}
	a := s.advice
	switch {
	case a.questions >= p.mostQuestions(s) || p.now < a.retryAt:
		return nil
	case len(a.wanted) > 0:
		return a.wanted
	}
	if p.now < a.exhaustedUntil {
		return nil
	}
	q := p.unasked(s)
	if len(q) == 0 {
		a.exhaustedUntil = p.now + blockedRecheck
	}
	return q
}

// mostQuestions returns how many questions a step may have under way. A gang of which
// nothing is known asks several at once: it needs many upstreams, and one question
// after the other would take most of its time.
//
// The load that it answers: large gangs on many upstreams that are nearly full.
func (p *Planner) mostQuestions(s *step) int {
	if !s.spec.Gang || len(s.advice.good) > 0 {
		return 1
	}
	return max(1, min(s.spec.Count/askedPerQuestion, len(p.advisers)/askingShare))
}

// ask has an instance ask the service.
func (p *Planner) ask(s *step, q []unit.Upstream, via *adviser) {
	cost := clock.Millis(s.job.Queue.AdviceBase + s.job.Queue.AdvicePerUpstream*float64(len(q)))
	via.busy = true
	s.advice.questions++
	for _, id := range q {
		s.advice.asked[id] = true
	}
	s.advice.wanted = nil
	p.effect(RequestTickets{Via: via.id, Step: s.id, Upstreams: q, Timeout: cost + adviceSlack})
}

// HandleTickets takes the answer to a question. good is nil after an error.
func (p *Planner) HandleTickets(now clock.Millis, q RequestTickets, good map[unit.Upstream]string, life clock.Millis, err error) {
	p.now = max(p.now, now)
	p.dirty = true
	if a := p.advisers[q.Via]; a != nil {
		a.busy = false
		if err != nil {
			a.failedAt = p.now
		}
	}
	s := p.steps[q.Step]
	if s == nil || s.advice == nil {
		return
	}
	s.blocked = false
	a := s.advice
	a.questions--
	for _, id := range q.Upstreams {
		delete(a.asked, id)
	}
	if err != nil {
		a.retryAt = p.now + adviceRetry
		return
	}
	if life == 0 {
		life = s.job.Queue.TicketTTL
	}
	for _, id := range q.Upstreams {
		text, ok := good[id]
		if !ok {
			a.bad[id] = true
			a.withdraw(id)
			continue
		}
		if h := p.hosts[id]; h != nil {
			a.accept(h, text, p.now+life)
		}
	}
}
