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
	acquireEvery = 1 * clock.Second
	// yieldEvery is the time between two returns of spare allotment that other
	// zones asked for.
	yieldEvery = 1 * clock.Second
	// moveTimeout bounds one proposal.
	moveTimeout = 5 * clock.Second
)

// allotments moves parts of the teams' allotments between this zone and the
// log, under one epoch. The queue takes a part out of use before the log is
// asked, and gets it back only once it is sure that the release isn't applied.
type allotments struct {
	epoch     unit.Epoch
	releasing map[unit.Team]*release
	acquireAt map[unit.Team]clock.Millis
	yieldAt   clock.Millis
}

// release is a part that is being given back to the log.
type release struct {
	part   unit.Resources
	change uint64
	// proposing is set while a proposal is in progress.
	proposing bool
}

// moveAllotments takes what the log says and proposes what is due. The caller
// holds the lock and the zone.
func (s *Scheduler) moveAllotments(now clock.Millis) {
	k := s.core
	a := &s.allotments
	if epoch := k.d.Epoch(); a.epoch != epoch {
		*a = allotments{epoch: epoch, releasing: map[unit.Team]*release{}, acquireAt: map[unit.Team]clock.Millis{}}
	}
	if a.epoch == 0 {
		return
	}
	for team, part := range k.releases {
		a.begin(team, part, k.state.AllotmentRevision(k.az, team))
	}
	k.releases = nil
	s.yield(now)
	s.settleReleases()
	s.acquire(now)
}

func (a *allotments) begin(team unit.Team, part unit.Resources, change uint64) {
	if a.releasing[team] == nil {
		a.releasing[team] = &release{part: part, change: change}
	}
}

// yield gives spare allotment to zones that asked in vain. Work waits for it
// there, so it is used at once; a part that were kept back here would hold up a
// task of a team that is below its limit.
func (s *Scheduler) yield(now clock.Millis) {
	k := s.core
	if now < s.allotments.yieldAt {
		return
	}
	s.allotments.yieldAt = now + yieldEvery
	wants := k.q.Shortfalls()
	for team, wanted := range k.state.UnmetDemand(k.az) {
		if s.allotments.releasing[team] != nil || !wants[team].IsZero() {
			continue
		}
		part := k.q.Quota().Available(team).Min(wanted)
		if part = k.q.Quota().BeginRelease(team, part); !part.IsZero() {
			s.allotments.begin(team, part, k.state.AllotmentRevision(k.az, team))
		}
	}
}

// settleReleases ends the releases whose fate the log tells, and proposes the
// others. A resend is harmless: the log applies a release once.
func (s *Scheduler) settleReleases() {
	k := s.core
	for team, r := range s.allotments.releasing {
		if k.state.AllotmentRevision(k.az, team) != r.change {
			s.endRelease(team)
			continue
		}
		if r.proposing {
			continue
		}
		r.proposing = true
		command := registrar.ReleaseAllotment{
			AvailabilityZone: k.az, Epoch: s.allotments.epoch, Team: team, Amount: r.part, Change: r.change,
		}
		s.begin(func() { s.proposeRelease(r, command) })
	}
}

func (s *Scheduler) endRelease(team unit.Team) {
	k := s.core
	delete(s.allotments.releasing, team)
	k.q.FinishRelease(team, k.state.Allotments(k.az)[team], k.state.Excess(k.az)[team])
	k.changed = true
}

func (s *Scheduler) proposeRelease(r *release, c registrar.ReleaseAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout.Duration())
	defer cancel()
	_, err := s.c.Propose(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.proposing = false
	var unknown *replicator.UnknownResultError
	if err != nil && !errors.As(err, &unknown) && s.allotments.releasing[c.Team] == r {
		// The log surely never had it.
		s.endRelease(c.Team)
	}
}

// acquire asks the log for what the waiting tasks lack.
func (s *Scheduler) acquire(now clock.Millis) {
	a := &s.allotments
	for team, want := range s.core.q.Shortfalls() {
		if want.IsZero() || now < a.acquireAt[team] || a.releasing[team] != nil {
			continue
		}
		a.acquireAt[team] = now + acquireEvery
		command := registrar.AcquireAllotment{AvailabilityZone: s.core.az, Epoch: a.epoch, Team: team, Want: want}
		s.begin(func() { s.proposeAcquire(command) })
	}
}

// proposeAcquire asks once; the answer comes with the log.
func (s *Scheduler) proposeAcquire(c registrar.AcquireAllotment) {
	ctx, cancel := context.WithTimeout(s.ctx, moveTimeout.Duration())
	defer cancel()
	if _, err := s.c.Propose(ctx, c); err != nil {
		s.c.Logger.WithError(err).WithField("Team", c.Team).Debug("a larger allotment was not granted")
	}
}
