package scheduler

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Spans of the moves of allotments between zones.
const (
	// acquireEvery is the time between two requests for a larger allotment of
	// one team, so that a team at its limit doesn't fill the log.
	acquireInterval = 1 * clock.Second
	// yieldEvery is the time between two returns of spare allotment that other
	// zones asked for.
	yieldInterval = 1 * clock.Second
	// moveTimeout bounds one proposal.
	allotmentTimeout = 5 * clock.Second
)

// allotments moves parts of the teams' allotments between this zone and the
// log, under one epoch. The queue takes a part out of use before the log is
// asked, and gets it back only once it is sure that the release isn't applied.
type allotments struct {
	epoch         unit.Epoch
	releasing     map[unit.Team]*release
	nextAcquireAt map[unit.Team]clock.Millis
	nextYieldAt   clock.Millis
}

// release is a part that is being given back to the log.
type release struct {
	amount   unit.Resources
	revision uint64
	// proposing is set while a proposal is in progress.
	proposing bool
}

// moveAllotments takes what the log says and proposes what is due. The caller
// holds the lock and the zone.
func (s *Scheduler) adjustAllotments(now clock.Millis) {
	c := s.core
	a := &s.allotments
	if epoch := c.dispatcher.Epoch(); a.epoch != epoch {
		*a = allotments{epoch: epoch, releasing: map[unit.Team]*release{}, nextAcquireAt: map[unit.Team]clock.Millis{}}
	}
	if a.epoch == 0 {
		return
	}
	for team, part := range c.releases {
		a.beginRelease(team, part, c.state.AllotmentRevision(c.az, team))
	}
	c.releases = nil
	s.yieldSpare(now)
	s.advanceReleases()
	s.acquireAllotments(now)
}

func (a *allotments) beginRelease(team unit.Team, part unit.Resources, change uint64) {
	if a.releasing[team] == nil {
		a.releasing[team] = &release{amount: part, revision: change}
	}
}

// yield gives spare allotment to zones that asked in vain. Work waits for it
// there, so it is used at once; a part that were kept back here would hold up a
// task of a team that is below its limit.
func (s *Scheduler) yieldSpare(now clock.Millis) {
	c := s.core
	if now < s.allotments.nextYieldAt {
		return
	}
	s.allotments.nextYieldAt = now + yieldInterval
	wants := c.queuer.Shortfalls()
	for team, wanted := range c.state.UnmetDemand(c.az) {
		if s.allotments.releasing[team] != nil || !wants[team].IsZero() {
			continue
		}
		part := c.queuer.Quota().Available(team).Min(wanted)
		if part = c.queuer.Quota().BeginRelease(team, part); !part.IsZero() {
			s.allotments.beginRelease(team, part, c.state.AllotmentRevision(c.az, team))
		}
	}
}

// settleReleases ends the releases whose fate the log tells, and proposes the
// others. A resend is harmless: the log applies a release once.
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

func (s *Scheduler) finishRelease(team unit.Team) {
	c := s.core
	delete(s.allotments.releasing, team)
	c.queuer.FinishRelease(team, c.state.Allotments(c.az)[team], c.state.Excess(c.az)[team])
	c.changed = true
}

func (s *Scheduler) proposeRelease(r *release, c registrar.ReleaseAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, allotmentTimeout.Duration())
	defer cancel()
	_, err := s.config.Propose(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.proposing = false
	var unknown *replicator.UnknownResultError
	if err != nil && !errors.As(err, &unknown) && s.allotments.releasing[c.Team] == r {
		// The log surely never had it.
		s.finishRelease(c.Team)
	}
}

// acquire asks the log for what the waiting tasks lack.
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

// proposeAcquire asks once; the answer comes with the log.
func (s *Scheduler) proposeAcquire(c registrar.AcquireAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, allotmentTimeout.Duration())
	defer cancel()
	if _, err := s.config.Propose(ctx, c); err != nil {
		s.config.Logger.WithError(err).WithField("Team", c.Team).Debug("a larger allotment was not granted")
	}
}
