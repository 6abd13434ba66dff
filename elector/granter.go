package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Leadership is a period during which an instance leads the log.
type Leadership struct {
	// Since is when the leadership began.
	Since clock.Millis
	// Valid is set if the leader holds a valid leader lease and has applied
	// every earlier commit.
	Valid bool
}

// Granter is the state machine of the log's leader: it renews the leases of
// zones and decides which takeovers may be proposed. When a new leadership
// begins, it drops its state and waits until the leases that earlier leaders
// granted have expired. Its methods must not be called concurrently.
type Granter struct {
	self        unit.Instance
	lease       clock.Millis
	leaderSince clock.Millis
	grants      map[unit.AvailabilityZone]*grant
}

// grant is the state of a zone's lease at the leader.
type grant struct {
	// leaseEnd is when the lease has expired at the holder, whatever the drift
	// of its clock.
	leaseEnd clock.Millis
	// takePending is set while a takeover from the holder of epoch prior is
	// proposed and its result isn't known. The lease of that epoch isn't
	// renewed meanwhile.
	takePending bool
	prior       unit.Epoch
	// roster is the holder's, as received with renewals.
	roster receivedRoster
}

// NewGranter returns the Granter of instance self, for leases of the given
// duration.
func NewGranter(self unit.Instance, lease clock.Millis) *Granter {
	return &Granter{self: self, lease: lease, grants: map[unit.AvailabilityZone]*grant{}}
}

// observeLeadership clears the grants if l is a new leadership.
func (g *Granter) observeLeadership(l Leadership) {
	if l.Since == g.leaderSince {
		return
	}
	g.leaderSince = l.Since
	clear(g.grants)
}

// grantFor returns the grant of a zone. A zone without one gets a lease that
// covers every lease granted by an earlier leader.
func (g *Granter) grantFor(az unit.AvailabilityZone) *grant {
	z := g.grants[az]
	if z == nil {
		z = &grant{leaseEnd: g.leaderSince + g.lease + DriftAllowance(g.lease)}
		g.grants[az] = z
	}
	return z
}

// HandleRenew handles a Renew at now; zone is the zone's state in the log.
func (g *Granter) HandleRenew(now clock.Millis, l Leadership, zone registrar.Zone, r Renew) RenewReply {
	if !l.Valid {
		return RenewReply{}
	}
	g.observeLeadership(l)
	z := g.grantFor(r.AvailabilityZone)
	if zone.Epoch != r.Epoch || zone.Holder != r.Instance || z.isBeingTaken(r.Epoch) {
		return RenewReply{}
	}
	z.leaseEnd = max(z.leaseEnd, now+g.lease+DriftAllowance(g.lease))
	return RenewReply{Granted: true, Receipt: z.roster.store(r.Epoch, r.Roster, Keeper(l.Since))}
}

// isBeingTaken reports whether a pending takeover may supersede the holder of
// epoch at any moment.
func (z *grant) isBeingTaken(epoch unit.Epoch) bool {
	return z.takePending && z.prior >= epoch
}

// isLeaseExpired reports whether the zone may be taken from the holder of prior.
func (g *Granter) isLeaseExpired(now clock.Millis, zone registrar.Zone, az unit.AvailabilityZone, prior unit.Epoch) bool {
	z := g.grantFor(az)
	if zone.Epoch != prior || z.isBeingTaken(prior) {
		return false
	}
	return prior == 0 || now >= z.leaseEnd
}

// HandleAsk handles an Ask at now.
func (g *Granter) HandleAsk(now clock.Millis, l Leadership, zone registrar.Zone, a Ask) AskReply {
	if !l.Valid {
		return AskReply{}
	}
	g.observeLeadership(l)
	if !g.isLeaseExpired(now, zone, a.AvailabilityZone, a.Prior) {
		return AskReply{}
	}
	return AskReply{Lapsed: true, Ticket: Ticket{Leader: g.self, Since: l.Since, IssuedAt: now}}
}

// BeginTake reports whether the caller may propose the TakeZone command of a
// Take now. If so, the caller must pass its result to EndTake.
func (g *Granter) BeginTake(now clock.Millis, l Leadership, zone registrar.Zone, t Take) bool {
	if !l.Valid {
		return false
	}
	g.observeLeadership(l)
	if t.Ticket.Leader != g.self || t.Ticket.Since != l.Since || now > t.Ticket.IssuedAt+g.lease {
		return false
	}
	if !g.isLeaseExpired(now, zone, t.AvailabilityZone, t.Prior) {
		return false
	}
	z := g.grantFor(t.AvailabilityZone)
	z.takePending, z.prior = true, t.Prior
	// The new holder counts its lease from when it sent the Take, so the lease
	// expires there first.
	z.leaseEnd = now + g.lease + DriftAllowance(g.lease)
	return true
}

// EndTake handles the result of the command that BeginTake allowed. decided is
// false if the command may still be committed. The takeover then stays pending
// until the leadership ends or the zone has a new epoch.
func (g *Granter) EndTake(l Leadership, t Take, decided bool) {
	if l.Since != g.leaderSince {
		return
	}
	z := g.grantFor(t.AvailabilityZone)
	if decided && z.prior == t.Prior {
		z.takePending = false
	}
}

// Roster returns the roster of the holder from which a Take takes over, and
// whether it is known.
func (g *Granter) Roster(l Leadership, t Take) (Roster, bool) {
	if l.Since != g.leaderSince {
		return Roster{}, false
	}
	received := g.grantFor(t.AvailabilityZone).roster
	return received.Roster, received.known && received.epoch == t.Prior
}

// HandleRelease ends the lease of a holder that released it.
func (g *Granter) HandleRelease(l Leadership, zone registrar.Zone, r Release) {
	if !l.Valid || zone.Epoch != r.Epoch || zone.Holder != r.Instance {
		return
	}
	g.observeLeadership(l)
	g.grantFor(r.AvailabilityZone).leaseEnd = 0
}
