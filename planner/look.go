package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Poll is the order that extends an upstream's lease and asks what runs there.
type Poll struct {
	_      struct{} `cbor:",toarray"`
	Target Target
	// AckedEndSeq is the last end that is durably noted.
	AckedEndSeq int64
	LeaseExpiry clock.Millis
	// MaxWait is how long the upstream may wait for an end before it answers.
	MaxWait clock.Millis
}

// lookWait is how long an upstream may wait for an end; the platform's bound.
const lookWait = 2 * clock.Second

// NextPoll returns the next look at an upstream; false if there is nothing to
// look at any more. The driver calls it only when all commands that were handed
// out are committed, since AckedEndSeq makes the upstream forget.
func (p *Planner) NextPoll(now clock.Millis, id unit.Upstream) (Poll, bool) {
	p.now = max(p.now, now)
	h := p.hosts[id]
	if h == nil || h.dead {
		return Poll{}, false
	}
	l := Poll{Target: h.target()}
	if !h.failing {
		// A new life counts its ends anew. Whether there is one isn't known after a
		// failure, and the number of the former life would make it forget its own.
		l.AckedEndSeq = h.AckedEndSeq
		// An upstream that doesn't answer isn't given a longer lease: the look
		// may reach it, and its runs would never surely end.
		l.LeaseExpiry = h.lease(p.now, p.cfg.MaxLease)
	}
	if h.claimed && !h.failing {
		l.MaxWait = lookWait
	}
	return l, true
}

// PollResult is an upstream's answer to a look.
type PollResult struct {
	_           struct{} `cbor:",toarray"`
	Incarnation keeper.Incarnation
	Clock       clock.Millis
	Running     []RunStatus
	Ended       []EndedRun
}

// RunStatus is a run that an upstream lists.
type RunStatus struct {
	_          struct{} `cbor:",toarray"`
	Run        keeper.RunKey
	Checkpoint string
	// Percent is how far the run is.
	Percent int
}

// EndedRun is an end that an upstream lists, under its number.
type EndedRun struct {
	_          struct{} `cbor:",toarray"`
	Seq        int64
	Run        keeper.RunKey
	Outcome    keeper.RunOutcome
	Checkpoint string
}

// HandlePollResult takes the answer to a look that was sent at sentAt.
func (p *Planner) HandlePollResult(now, sentAt clock.Millis, to Target, s PollResult) {
	p.now = max(p.now, now)
	h := p.hosts[to.ID]
	if h == nil || h.dead || h.Incarnation != to.Incarnation {
		return
	}
	if s.Incarnation != 0 && s.Incarnation != h.Incarnation {
		if s.Incarnation > h.Incarnation {
			// The next report describes the new life; nothing is started there
			// before it.
			h.reborn = true
			p.buryHost(h, s.Incarnation-1)
		}
		return
	}
	first := !h.claimed
	if first || h.failing {
		p.free(h)
	}
	h.claimed, h.failing = true, false
	h.hear(p.now, s.Clock)
	for _, e := range s.Ended {
		p.seeEnd(h, e)
	}
	listed := make(map[keeper.RunKey]bool, len(s.Running))
	for _, r := range s.Running {
		listed[r.Run] = true
		p.seeRun(h, r)
	}
	p.endUnlisted(h, listed, sentAt, first)
	p.stopDoubtful(h, listed, sentAt)
	p.checkProgress(h)
	p.dirty = true
}

func (p *Planner) seeEnd(h *host, e EndedRun) {
	if e.Seq <= h.AckedEndSeq {
		return
	}
	r := p.runs[e.Run]
	if r == nil || r.host != h.ID || r.stray {
		p.seeOldEnd(h, e)
		return
	}
	if r.life != h.Incarnation {
		// A late order was carried out in the upstream's new life.
		p.record(keeper.AckEnds{Upstream: h.ID, Incarnation: h.Incarnation, EndSeq: e.Seq})
	}
	p.endRun(r, e.Outcome, e.Checkpoint, e.Seq)
}

// seeOldEnd takes the end of a run that the holder had counted as ended. If it says
// that the task is done, the task isn't started again.
func (p *Planner) seeOldEnd(h *host, e EndedRun) {
	if !p.state.IsLateCompletion(e.Run.Task, e.Run.Number, e.Outcome) {
		p.record(keeper.AckEnds{Upstream: h.ID, Incarnation: h.Incarnation, EndSeq: e.Seq})
		return
	}
	p.record(keeper.EndRun{
		Task: e.Run.Task, Number: e.Run.Number, Upstream: h.ID, Incarnation: h.Incarnation,
		Outcome: e.Outcome, Checkpoint: e.Checkpoint, EndSeq: e.Seq, At: p.now,
	})
	p.dirty = true
	p.follow(e.Run, e.Outcome)
}

func (p *Planner) seeRun(h *host, s RunStatus) {
	r := p.runs[s.Run]
	if r == nil || r.host != h.ID {
		// Nobody counts on this run: its job was forgotten, or an order that
		// was given up has been carried out late.
		r = &run{key: s.Run, host: h.ID, life: h.Incarnation, stray: true}
		p.runs[s.Run] = r
		p.wantStop(r, p.now)
		if p.strays[h.ID] == nil {
			p.strays[h.ID] = map[keeper.RunKey]bool{}
		}
		p.strays[h.ID][s.Run] = true
		return
	}
	if r.stray {
		return
	}
	if r.ackedAt == 0 {
		r.ackedAt = p.now
		r.unanswered = false
	}
	if r.life == h.Incarnation {
		r.listed = true
	}
	r.watch(p.now, s)
}

// endUnlisted ends the runs that the upstream lists neither as running nor as
// ended, if they can't come any more: their start was answered before the look
// was sent, or the claim or an answered stop rules them out.
func (p *Planner) endUnlisted(h *host, listed map[keeper.RunKey]bool, sentAt clock.Millis, first bool) {
	for _, r := range slices.Clone(h.live) {
		if listed[r.key] {
			continue
		}
		ruledOut := r.inherited && (first || r.life == h.Incarnation)
		answered := r.ackedAt > 0 && r.ackedAt < sentAt
		stopped := r.stoppedAt > 0 && r.stoppedAt < sentAt
		if ruledOut || answered || stopped {
			p.endRun(r, keeper.RunLost, "", 0)
		}
	}
	for key := range p.strays[h.ID] {
		if !listed[key] {
			delete(p.runs, key)
			delete(p.stopping, key)
			delete(p.strays[h.ID], key)
		}
	}
}

// HandlePollFailure takes a look without a sound answer. life: another life answered.
func (p *Planner) HandlePollFailure(now clock.Millis, to Target, life bool) {
	p.now = max(p.now, now)
	h := p.hosts[to.ID]
	if h == nil || h.Incarnation != to.Incarnation {
		return
	}
	h.failing = true
	if life {
		p.buryHost(h, h.Incarnation)
	}
}
