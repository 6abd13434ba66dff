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
	// adviceRetry is the wait after a question without an answer.
	adviceRetry = 100 * clock.Millisecond
)

// advice is what is known of the upstreams that may run a step. What the
// service says of an upstream doesn't change in its life; only tickets end.
type advice struct {
	good map[unit.Upstream]ticket
	bad  map[unit.Upstream]bool
	// asking is the instance that asks now.
	asking  unit.Instance
	retryAt clock.Millis
	// wanted are the upstreams whose tickets have to be renewed.
	wanted []unit.Upstream
	// exhaustedUntil is until when no upstream is left that wasn't asked about.
	exhaustedUntil clock.Millis
}

type ticket struct {
	text  string
	until clock.Millis
}

// adviser is an instance that can ask the service, one question at a time.
type adviser struct {
	id       unit.Instance
	attended clock.Millis
	busy     bool
	// failedAt holds back an instance whose question got no answer.
	failedAt clock.Millis
}

func (p *Planner) attend(id unit.Instance) {
	a := p.advisers[id]
	if a == nil {
		a = &adviser{id: id}
		p.advisers[id] = a
		p.dirty = true
	}
	a.attended = p.now
}

// forgetAdvice drops what was said of an upstream's former life.
func (p *Planner) forgetAdvice(id unit.Upstream) {
	for _, s := range p.steps {
		if s.advice != nil {
			delete(s.advice.good, id)
			delete(s.advice.bad, id)
		}
	}
}

func (p *Planner) dropTicket(id keeper.StepID, host unit.Upstream) {
	if s := p.steps[id]; s != nil && s.advice != nil {
		if t, ok := s.advice.good[host]; ok {
			t.until = 0
			s.advice.good[host] = t
			s.blocked = false
		}
	}
}

// hasTicket reports whether a start there needs no question first.
func (p *Planner) hasTicket(s *step, h *host) bool {
	return !s.job.Queue.Advised || s.advice.good[h.ID].until > p.now+ticketMargin
}

// mayRun reports whether the step may run on an upstream, as far as is known.
func (s *step) mayRun(h *host) bool {
	if !s.job.Queue.Advised {
		return true
	}
	if s.advice == nil {
		return false
	}
	_, good := s.advice.good[h.ID]
	return good
}

// isAdvised reports whether something is known of the upstreams that may run
// a step.
func (s *step) isAdvised() bool {
	return !s.job.Queue.Advised || s.advice != nil && len(s.advice.good) > 0
}

// unasked returns the usable upstreams that the service wasn't asked about,
// those with most room first.
func (p *Planner) unasked(s *step) []unit.Upstream {
	if len(s.advice.good)+len(s.advice.bad) >= len(p.hosts) {
		return nil
	}
	service := p.serviceOf(s.job)
	var list []candidate
	for _, h := range p.hosts {
		_, good := s.advice.good[h.ID]
		if !good && !s.advice.bad[h.ID] && p.suits(s, h, service) {
			list = append(list, candidate{host: h, score: -float64(h.free().CPU)})
		}
	}
	slices.SortFunc(list, candidate.compare)
	list = list[:min(len(list), maxAsked)]
	ids := make([]unit.Upstream, len(list))
	for i, c := range list {
		ids[i] = c.host.ID
	}
	return ids
}

// askAgain asks for new tickets on upstreams that are known to be good.
func (p *Planner) askAgain(s *step, hosts []*host) {
	a := s.advice
	if a.asking != "" || p.now < a.retryAt {
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
		if !s.job.Queue.Advised || len(free) <= sparedAdvisers && s.job.Queue.AdviceBase >= float64(longAdvice) {
			continue
		}
		if q := p.question(s); len(q) > 0 {
			p.ask(s, q, free[0])
			free = free[1:]
		}
	}
}

// question returns the upstreams to ask about for a step: those whose tickets
// have ended, else those that nothing is known of.
func (p *Planner) question(s *step) []unit.Upstream {
	if s.advice == nil {
		s.advice = &advice{good: map[unit.Upstream]ticket{}, bad: map[unit.Upstream]bool{}}
	}
	a := s.advice
	switch {
	case a.asking != "" || p.now < a.retryAt:
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

// ask has an instance ask the service.
func (p *Planner) ask(s *step, q []unit.Upstream, via *adviser) {
	cost := clock.Millis(s.job.Queue.AdviceBase + s.job.Queue.AdviceEach*float64(len(q)))
	via.busy = true
	s.advice.asking = via.id
	s.advice.wanted = nil
	p.effect(Advise{Via: via.id, Step: s.id, Upstreams: q, Wait: cost + adviceSlack})
}

// Advised takes the answer to a question. good is nil after an error.
func (p *Planner) Advised(now clock.Millis, q Advise, good map[unit.Upstream]string, life clock.Millis, err error) {
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
	a.asking = ""
	if err != nil {
		a.retryAt = p.now + adviceRetry
		return
	}
	if life == 0 {
		life = s.job.Queue.TicketLife
	}
	for _, id := range q.Upstreams {
		text, ok := good[id]
		if !ok {
			a.bad[id] = true
			delete(a.good, id)
			continue
		}
		a.good[id] = ticket{text: text, until: p.now + life}
	}
}
