package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Poll is the request that renews an upstream's lease and asks for a list of its runs.
type Poll struct {
	_      struct{} `cbor:",toarray"`
	Target Target
	// AckedEndSeq acknowledges all ends up to this sequence number: they are in the
	// committed state, and the upstream may forget them.
	AckedEndSeq int64
	// LeaseExpiry is the new expiry of the lease, by the upstream's clock; 0 doesn't renew it.
	LeaseExpiry clock.Millis
	// MaxWait is how long the upstream may wait for a run to end before it answers.
	MaxWait clock.Millis
}

// maxPollWait is the platform's limit on how long an upstream may wait before it answers a
// poll.
const maxPollWait = 2 * clock.Second

// NextPoll returns the next poll of an upstream, or false if the upstream is not to be
// polled any more. The driver must send it only once all commands that were recorded before
// the call are committed, since the upstream forgets the ends that AckedEndSeq acknowledges.
func (p *Planner) NextPoll(now clock.Millis, id unit.Upstream) (Poll, bool) {
	p.now = max(p.now, now)
	u := p.upstreams[id]
	if u == nil || u.ended {
		return Poll{}, false
	}
	poll := Poll{Target: u.target()}
	if !u.failing {
		// A new incarnation numbers its ends anew. After a failure it isn't known whether
		// there is one, and the sequence number of the former incarnation would make it
		// forget its own ends.
		poll.AckedEndSeq = u.AckedEndSeq
		// The lease of an upstream that doesn't answer isn't renewed: the poll might still
		// reach it, and its runs would never be known to have ended.
		poll.LeaseExpiry = u.extendLease(p.now, p.cfg.MaxLease)
	}
	if u.tokenAcked && !u.failing {
		poll.MaxWait = maxPollWait
	}
	return poll, true
}

// PollResult is an upstream's answer to a poll.
type PollResult struct {
	_           struct{} `cbor:",toarray"`
	Incarnation keeper.Incarnation
	Clock       clock.Millis
	Running     []RunStatus
	Ended       []EndedRun
}

// RunStatus is a live run that an upstream lists.
type RunStatus struct {
	_          struct{} `cbor:",toarray"`
	Run        keeper.RunKey
	Checkpoint string
	// Percent is the progress of the run, from 0 to 100.
	Percent int
}

// EndedRun is the end of a run that an upstream lists. Seq is the end's sequence number.
type EndedRun struct {
	_          struct{} `cbor:",toarray"`
	Seq        int64
	Run        keeper.RunKey
	Outcome    keeper.RunOutcome
	Checkpoint string
}

// HandlePollResult handles the answer to a poll that was sent at sentAt.
func (p *Planner) HandlePollResult(now, sentAt clock.Millis, to Target, result PollResult) {
	p.now = max(p.now, now)
	u := p.upstreams[to.ID]
	if u == nil || u.ended || u.Incarnation != to.Incarnation {
		return
	}
	if result.Incarnation != 0 && result.Incarnation != u.Incarnation {
		if result.Incarnation > u.Incarnation {
			// The next report describes the new incarnation; nothing is started there
			// before.
			u.restarted = true
			p.endIncarnations(u, result.Incarnation-1)
		}
		return
	}
	if u.answeredAt > 0 {
		p.timing.PollGap.Add(sentAt - u.answeredAt)
	}
	u.answeredAt = p.now
	if !u.tokenAcked || u.failing {
		p.markFreed(u)
	}
	u.tokenAcked, u.failing = true, false
	u.updateClock(p.now, result.Clock)
	if u.firstPollClock == 0 {
		u.firstPollClock = result.Clock
	}
	for _, e := range result.Ended {
		p.handleEnd(u, e)
	}
	listed := make(map[keeper.RunKey]bool, len(result.Running))
	for _, r := range result.Running {
		listed[r.Run] = true
		p.handleListedRun(u, r)
	}
	p.dropUnlistedOrphans(u, listed)
	if p.listsAllEnds(result) {
		p.endUnlisted(u, listed, sentAt)
		p.stopUnlistedStarts(u, listed, sentAt)
		u.listedAll = true
	}
	p.checkProgress(u)
	p.dirty = true
}

// listsAllEnds reports whether the answer to a poll lists all ends that aren't acknowledged.
// If it may not, a run that it doesn't list may still have ended.
func (p *Planner) listsAllEnds(result PollResult) bool {
	return p.cfg.MaxListedEnds == 0 || len(result.Ended) < p.cfg.MaxListedEnds
}

func (p *Planner) handleEnd(u *upstream, e EndedRun) {
	if e.Seq <= u.AckedEndSeq {
		return
	}
	r := p.runs[e.Run]
	if r == nil || r.upstream != u.ID || r.orphan {
		p.handleLateEnd(u, e)
		return
	}
	if r.incarnation != u.Incarnation {
		// The new incarnation executed a late order.
		p.record(keeper.AckEnds{Upstream: u.ID, Incarnation: u.Incarnation, EndSeq: e.Seq})
	}
	p.endRun(r, e.Outcome, e.Checkpoint, e.Seq)
}

// handleLateEnd handles the end of a run that the state already counts as ended. If the run
// has done its task, the task isn't started again.
func (p *Planner) handleLateEnd(u *upstream, e EndedRun) {
	p.noteBegun(e.Run.Task.Job)
	if !p.state.IsLateCompletion(e.Run.Task, e.Run.Number, e.Outcome) {
		p.record(keeper.AckEnds{Upstream: u.ID, Incarnation: u.Incarnation, EndSeq: e.Seq})
		return
	}
	p.record(keeper.EndRun{
		Task: e.Run.Task, Number: e.Run.Number, Upstream: u.ID, Incarnation: u.Incarnation,
		Outcome: e.Outcome, Checkpoint: e.Checkpoint, EndSeq: e.Seq, At: p.now,
	})
	p.dirty = true
	p.afterRunEnd(e.Run, e.Outcome)
}

func (p *Planner) handleListedRun(u *upstream, status RunStatus) {
	r := p.runs[status.Run]
	if r == nil || r.upstream != u.ID {
		// The run is an orphan: its job was dropped from the state, or its start was
		// executed after the run had been given up.
		p.noteBegun(status.Run.Task.Job)
		r = &run{key: status.Run, upstream: u.ID, incarnation: u.Incarnation, orphan: true}
		p.runs[status.Run] = r
		p.requestStop(r, p.now)
		if p.orphans[u.ID] == nil {
			p.orphans[u.ID] = map[keeper.RunKey]bool{}
		}
		p.orphans[u.ID][status.Run] = true
		return
	}
	if r.orphan {
		return
	}
	if r.ackedAt == 0 {
		r.ackedAt = p.now
		r.indeterminate = false
		p.noteBegun(status.Run.Task.Job)
	}
	if r.incarnation == u.Incarnation {
		r.listed = true
	}
	r.updateProgress(p.now, status)
}

// endUnlisted ends the runs that the upstream lists neither as running nor as ended, if
// they can't appear later: their start was answered before the poll was sent, a stop was
// executed before that, or the leader's token rules out a former leader's start.
func (p *Planner) endUnlisted(u *upstream, listed map[keeper.RunKey]bool, sentAt clock.Millis) {
	first := !u.listedAll
	for _, r := range slices.Clone(u.liveRuns) {
		if listed[r.key] {
			continue
		}
		neverStarted := r.inherited && (first || r.incarnation == u.Incarnation)
		answered := r.ackedAt > 0 && r.ackedAt < sentAt
		stopped := r.stopAckedAt > 0 && r.stopAckedAt < sentAt
		if neverStarted || answered || stopped {
			p.endRun(r, keeper.RunLost, "", 0)
		}
	}
}

// dropUnlistedOrphans stops tracking the orphans that the upstream doesn't list as running.
func (p *Planner) dropUnlistedOrphans(u *upstream, listed map[keeper.RunKey]bool) {
	for key := range p.orphans[u.ID] {
		if !listed[key] {
			delete(p.runs, key)
			delete(p.stopping, key)
			delete(p.orphans[u.ID], key)
		}
	}
}

// HandlePollFailure handles a poll that got no valid answer. otherIncarnation is set if
// another incarnation answered.
func (p *Planner) HandlePollFailure(now clock.Millis, to Target, otherIncarnation bool) {
	p.now = max(p.now, now)
	u := p.upstreams[to.ID]
	if u == nil || u.Incarnation != to.Incarnation {
		return
	}
	u.failing = true
	if otherIncarnation {
		p.endIncarnations(u, u.Incarnation)
	}
}
