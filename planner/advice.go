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
	// longAdvice is the service's time from which on a question may not take
	// the last free instances, so that urgent steps find one.
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
	// wanted is what to ask next; nil if there is nothing to ask.
	wanted []unit.Upstream
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
	_, good := s.advice.good[h.ID]
	return good
}

// askFirst asks about the upstreams of which nothing is known. It reports
// whether something is known at all.
func (p *Planner) askFirst(s *step) bool {
	if !s.job.Queue.Advised {
		return true
	}
	if s.advice == nil {
		s.advice = &advice{good: map[unit.Upstream]ticket{}, bad: map[unit.Upstream]bool{}}
	}
	a := s.advice
	if a.asking == "" && p.now >= a.retryAt {
		a.wanted = p.unasked(s)
	}
	return len(a.good) > 0
}

// unasked returns the usable upstreams that the service wasn't asked about,
// those with most room first.
func (p *Planner) unasked(s *step) []unit.Upstream {
	var list []*host
	for _, h := range p.hosts {
		_, good := s.advice.good[h.ID]
		if !good && !s.advice.bad[h.ID] && p.suits(s, h) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *host) int {
		return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.ID, b.ID))
	})
	list = list[:min(len(list), maxAsked)]
	ids := make([]unit.Upstream, len(list))
	for i, h := range list {
		ids[i] = h.ID
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
		if s.advice == nil || len(s.advice.wanted) == 0 || s.advice.asking != "" {
			continue
		}
		cost := clock.Millis(s.job.Queue.AdviceBase + s.job.Queue.AdviceEach*float64(len(s.advice.wanted)))
		spared := 0
		if cost >= longAdvice {
			spared = sparedAdvisers
		}
		if len(free) <= spared {
			continue
		}
		a := free[0]
		free = free[1:]
		a.busy = true
		s.advice.asking = a.id
		p.effect(Advise{Via: a.id, Step: s.id, Upstreams: s.advice.wanted, Wait: cost + adviceSlack})
		s.advice.wanted = nil
	}
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
