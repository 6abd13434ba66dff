package scheduler

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Intervals and timeouts of the exchange of allotments with the log.
const (
	// acquireInterval is the time between two requests for a larger allotment
	// of one team. It keeps a team at its limit from filling the log.
	acquireInterval = 1 * clock.Second
	// yieldInterval is the time between two releases of spare allotment to
	// other zones.
	yieldInterval = 1 * clock.Second
	// allotmentTimeout bounds one proposal.
	allotmentTimeout = 5 * clock.Second
)

// allotments tracks the parts of the teams' allotments that this zone gives
// back to the log or acquires from it, under one epoch. The queue takes a part
// out of use before its release is proposed. It gets the part back only once
// the release can no longer be applied.
type allotments struct {
	epoch         unit.Epoch
	releasing     map[unit.Team]*release
	nextAcquireAt map[unit.Team]clock.Millis
	nextYieldAt   clock.Millis
}

// release is a part of an allotment that is being given back to the log.
type release struct {
	amount unit.Resources
	// revision is the revision of the allotment before the release.
	revision uint64
	// proposing is set while a proposal of the release is in progress.
	proposing bool
}

// adjustAllotments updates the releases from the replicated state and proposes
// the releases and acquisitions that are due. It does nothing while the zone
// isn't held. The caller holds s.mu.
func (s *Scheduler) adjustAllotments(now clock.Millis) {
	c := s.core
	a := &s.allotments
	if epoch := c.dispatcher.Epoch(); a.epoch != epoch {
		*a = allotments{epoch: epoch, releasing: map[unit.Team]*release{}, nextAcquireAt: map[unit.Team]clock.Millis{}}
	}
	if a.epoch == 0 {
		return
	}
	for team, amount := range c.releases {
		a.beginRelease(team, amount, c.state.AllotmentRevision(c.az, team))
	}
	c.releases = nil
	s.yieldSpare(now)
	s.advanceReleases()
	s.acquireAllotments(now)
}

// beginRelease adds a release, unless one of the team is in progress.
func (a *allotments) beginRelease(team unit.Team, amount unit.Resources, revision uint64) {
	if a.releasing[team] == nil {
		a.releasing[team] = &release{amount: amount, revision: revision}
	}
}

// yieldSpare releases spare allotment that other zones requested but didn't get.
// It keeps no reserve: tasks wait for the allotment there, and a reserve here
// would delay a task of a team that is below its limit.
func (s *Scheduler) yieldSpare(now clock.Millis) {
	c := s.core
	if now < s.allotments.nextYieldAt {
		return
	}
	s.allotments.nextYieldAt = now + yieldInterval
	shortfalls := c.queuer.Shortfalls()
	for team, demand := range c.state.UnmetDemand(c.az) {
		if s.allotments.releasing[team] != nil || !shortfalls[team].IsZero() {
			continue
		}
		amount := c.queuer.Quota().Available(team).Min(demand)
		if amount = c.queuer.Quota().BeginRelease(team, amount); !amount.IsZero() {
			s.allotments.beginRelease(team, amount, c.state.AllotmentRevision(c.az, team))
		}
	}
}

// advanceReleases finishes the releases whose allotment has a new revision in
// the log, and proposes the others. Proposing a release again is harmless, since
// the log applies it at most once.
func (s *Scheduler) advanceReleases() {
	c := s.core
	for team, r := range s.allotments.releasing {
		if c.state.AllotmentRevision(c.az, team) != r.revision {
			s.finishRelease(team)
			continue
		}
		if r.proposing {
			continue
		}
		r.proposing = true
		command := registrar.ReleaseAllotment{
			AvailabilityZone: c.az, Epoch: s.allotments.epoch, Team: team, Amount: r.amount, Change: r.revision,
		}
		s.startCall(func() { s.proposeRelease(r, command) })
	}
}

// finishRelease ends a release and gives the queue the allotment that the log
// holds now.
func (s *Scheduler) finishRelease(team unit.Team) {
	c := s.core
	delete(s.allotments.releasing, team)
	c.queuer.FinishRelease(team, c.state.Allotments(c.az)[team], c.state.Excess(c.az)[team])
	c.changed = true
}

// proposeRelease proposes a release. It finishes the release if the proposal can't
// have been committed; otherwise advanceReleases finishes or repeats it.
func (s *Scheduler) proposeRelease(r *release, c registrar.ReleaseAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, allotmentTimeout.Duration())
	defer cancel()
	_, err := s.config.Propose(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.proposing = false
	var unknown *replicator.UnknownResultError
	if err != nil && !errors.As(err, &unknown) && s.allotments.releasing[c.Team] == r {
		// The release was certainly not appended to the log.
		s.finishRelease(c.Team)
	}
}

// acquireAllotments requests larger allotments for the teams whose waiting tasks
// lack some.
func (s *Scheduler) acquireAllotments(now clock.Millis) {
	a := &s.allotments
	for team, want := range s.core.queuer.Shortfalls() {
		if want.IsZero() || now < a.nextAcquireAt[team] || a.releasing[team] != nil {
			continue
		}
		a.nextAcquireAt[team] = now + acquireInterval
		command := registrar.AcquireAllotment{AvailabilityZone: s.core.az, Epoch: a.epoch, Team: team, Want: want}
		s.startCall(func() { s.proposeAcquire(command) })
	}
}

// proposeAcquire proposes a command once. A larger allotment arrives through the
// replicated state.
func (s *Scheduler) proposeAcquire(c registrar.AcquireAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, allotmentTimeout.Duration())
	defer cancel()
	if _, err := s.config.Propose(ctx, c); err != nil {
		s.config.Logger.WithError(err).WithField("Team", c.Team).Debug("failed to propose a larger allotment")
	}
}
