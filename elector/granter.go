package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Leadership is the time that an instance leads the log. LeaderSince returns it only
// with a valid leader lease, once all that was committed before is applied.
type Leadership struct {
	// Since is when the leadership began.
	Since clock.Millis
	Valid bool
}

// Granter is the side of the log's leader: it renews leases of zones and
// decides which takeover may be proposed. It forgets everything when a new
// leadership begins, and then waits until every lease that an earlier leader
// granted has lapsed. All methods are called one at a time.
type Granter struct {
	self  unit.Instance
	lease clock.Millis
	since clock.Millis
	zones map[unit.AvailabilityZone]*grant
}

// grant is what the leader granted of a zone.
type grant struct {
	until clock.Millis
	// taking is set while a takeover from the holder of prior is proposed and
	// its end isn't known. No lease of that epoch is renewed then.
	taking bool
	prior  unit.Epoch
	roster keptRoster
}

// NewGranter returns the granter of an instance.
func NewGranter(self unit.Instance, lease clock.Millis) *Granter {
	return &Granter{self: self, lease: lease, zones: map[unit.AvailabilityZone]*grant{}}
}

// enter starts over if the leadership is a new one.
func (g *Granter) enter(l Leadership) {
	if l.Since == g.since {
		return
	}
	g.since = l.Since
	clear(g.zones)
}

func (g *Granter) zone(az unit.AvailabilityZone) *grant {
	z := g.zones[az]
	if z == nil {
		z = &grant{until: g.since + g.lease + Drift(g.lease)}
		g.zones[az] = z
	}
	return z
}

// Renew answers a Renew at now; zone is what the log says.
func (g *Granter) Renew(now clock.Millis, l Leadership, zone registrar.Zone, r Renew) RenewReply {
	if !l.Valid {
		return RenewReply{}
	}
	g.enter(l)
	z := g.zone(r.AvailabilityZone)
	if zone.Epoch != r.Epoch || zone.Holder != r.Instance || z.isTaken(r.Epoch) {
		return RenewReply{}
	}
	z.until = max(z.until, now+g.lease+Drift(g.lease))
	return RenewReply{Granted: true, Receipt: z.roster.take(r.Epoch, r.Roster, Keeper(l.Since))}
}

// isTaken reports whether the holder of e may be superseded at any moment.
func (z *grant) isTaken(e unit.Epoch) bool {
	return z.taking && z.prior >= e
}

// isLapsed reports whether the zone can be taken from the holder of prior.
func (g *Granter) isLapsed(now clock.Millis, zone registrar.Zone, az unit.AvailabilityZone, prior unit.Epoch) bool {
	z := g.zone(az)
	if zone.Epoch != prior || z.isTaken(prior) {
		return false
	}
	return prior == 0 || now >= z.until
}

// Ask answers an Ask at now.
func (g *Granter) Ask(now clock.Millis, l Leadership, zone registrar.Zone, a Ask) AskReply {
	if !l.Valid {
		return AskReply{}
	}
	g.enter(l)
	if !g.isLapsed(now, zone, a.AvailabilityZone, a.Prior) {
		return AskReply{}
	}
	return AskReply{Lapsed: true, Ticket: Ticket{Leader: g.self, Since: l.Since, IssuedAt: now}}
}

// Begin reports whether the caller may propose the TakeZone of a Take now. If
// so, it must call End with what became of it.
func (g *Granter) Begin(now clock.Millis, l Leadership, zone registrar.Zone, t Take) bool {
	if !l.Valid {
		return false
	}
	g.enter(l)
	if t.Ticket.Leader != g.self || t.Ticket.Since != l.Since || now > t.Ticket.IssuedAt+g.lease {
		return false
	}
	if !g.isLapsed(now, zone, t.AvailabilityZone, t.Prior) {
		return false
	}
	z := g.zone(t.AvailabilityZone)
	z.taking, z.prior = true, t.Prior
	// The new holder counts its lease from when it sent the Take.
	z.until = now + g.lease + Drift(g.lease)
	return true
}

// End tells what became of the command that Begin allowed. An undecided one
// keeps the zone as it is until the leadership ends or the log tells.
func (g *Granter) End(l Leadership, t Take, decided bool) {
	if l.Since != g.since {
		return
	}
	z := g.zone(t.AvailabilityZone)
	if decided && z.prior == t.Prior {
		z.taking = false
	}
}

// Roster returns what is known of the roster of the holder that a Take was
// granted against.
func (g *Granter) Roster(l Leadership, t Take) (Roster, bool) {
	if l.Since != g.since {
		return Roster{}, false
	}
	kept := g.zone(t.AvailabilityZone).roster
	return kept.Roster, kept.known && kept.epoch == t.Prior
}

// Release ends the lease of a holder that handed over.
func (g *Granter) Release(l Leadership, zone registrar.Zone, r Release) {
	if !l.Valid || zone.Epoch != r.Epoch || zone.Holder != r.Instance {
		return
	}
	g.enter(l)
	g.zone(r.AvailabilityZone).until = 0
}
