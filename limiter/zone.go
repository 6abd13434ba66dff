package limiter

import (
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// ZoneQuota is one availability zone's spending of its allotments.
type ZoneQuota struct {
	teams     map[unit.Team]*account
	unchecked bool
}

type account struct {
	// allotment is what the log says, excess what must be given back of it,
	// returning what is being given back: the log may still show it, but it
	// isn't spent any more.
	allotment unit.Resources
	excess    unit.Resources
	returning unit.Resources
	held      unit.Resources
	carried   unit.Resources
}

// NewZoneQuota returns a zone without allotments.
func NewZoneQuota() *ZoneQuota {
	return &ZoneQuota{teams: map[unit.Team]*account{}}
}

// DisableChecks makes Reserve always succeed. It exists for the tests that
// show that the limit property notices.
func (z *ZoneQuota) DisableChecks() { z.unchecked = true }

func (z *ZoneQuota) account(team unit.Team) *account {
	a := z.teams[team]
	if a == nil {
		a = &account{}
		z.teams[team] = a
	}
	return a
}

// spendable is what starts may use in all.
func (a *account) spendable() unit.Resources {
	return a.allotment.Sub(a.excess.Max(a.returning)).Max(unit.Resources{})
}

// charged is what counts against the allotment. What a predecessor may have
// started counts as if it ran.
func (a *account) charged() unit.Resources {
	return addCapped(a.held, a.carried)
}

// Set stores a team's allotment as the log has it, without excess.
func (z *ZoneQuota) Set(team unit.Team, allotment unit.Resources) {
	z.Adjust(team, allotment, unit.Resources{})
}

// Adjust stores a team's allotment as the log has it, of which excess must be
// given back. The excess isn't spent from now on; BeginRelease gives it back as
// tasks end.
func (z *ZoneQuota) Adjust(team unit.Team, allotment, excess unit.Resources) {
	a := z.account(team)
	a.allotment, a.excess = allotment, excess
}

// Allotments returns what each team may spend in all.
func (z *ZoneQuota) Allotments() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team, a := range z.teams {
		out[team] = a.spendable()
	}
	return out
}

// Fits reports whether Reserve would succeed.
func (z *ZoneQuota) Fits(team unit.Team, need unit.Resources) bool {
	return z.Shortfall(team, need).IsZero()
}

// Shortfall returns what a team's allotment lacks for need, zero if it suffices.
// A dimension that is over its allotment holds up only work that needs it.
func (z *ZoneQuota) Shortfall(team unit.Team, need unit.Resources) unit.Resources {
	a := z.account(team)
	if z.unchecked {
		return unit.Resources{}
	}
	spendable := a.spendable().Vector()
	charged := a.charged().Vector()
	var lacks [unit.Dimensions]int64
	for d, n := range need.Vector() {
		if n > 0 {
			lacks[d] = max(0, charged[d]+n-spendable[d])
		}
	}
	return unit.FromVector(lacks)
}

// Reserve charges need to a team's allotment if it suffices.
func (z *ZoneQuota) Reserve(team unit.Team, need unit.Resources) bool {
	if !z.Fits(team, need) {
		return false
	}
	a := z.account(team)
	a.held = a.held.Add(need)
	return true
}

// Adopt charges a task that was found running, also if that passes the
// allotment. The task is one of those that the predecessor may have started,
// so it no longer counts as carried.
func (z *ZoneQuota) Adopt(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.held = a.held.Add(need)
	a.carried = a.carried.Sub(need.Min(a.carried))
}

// Unreserve ends the charge of a task.
func (z *ZoneQuota) Unreserve(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.held = a.held.Sub(need)
	if !(unit.Resources{}).Fits(a.held) {
		panic(fmt.Sprintf("limiter: team %s freed more than it held: %+v", team, a.held))
	}
}

// Allotment returns what a team may spend in all.
func (z *ZoneQuota) Allotment(team unit.Team) unit.Resources {
	return z.account(team).spendable()
}

// Allocated returns what a team's tasks hold.
func (z *ZoneQuota) Allocated(team unit.Team) unit.Resources {
	return z.account(team).held
}

// Available returns the part of a team's allotment that nothing is charged to.
func (z *ZoneQuota) Available(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.spendable().Sub(a.charged()).Max(unit.Resources{})
}

// Over returns how far each team's charges pass its allotment: what must stop.
// What is only carried can't be stopped and isn't counted here.
func (z *ZoneQuota) Over() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range z.teams {
		if over := z.Overage(team); !over.IsZero() {
			out[team] = over
		}
	}
	return out
}

// Overage returns how far one team's charges pass its allotment.
func (z *ZoneQuota) Overage(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.held.Sub(a.spendable()).Max(unit.Resources{})
}

// SetInherited sets what a predecessor may have started and isn't known yet. It
// counts against the allotment until Adopt finds it or ClearInherited ends it.
func (z *ZoneQuota) SetInherited(team unit.Team, amount unit.Resources) {
	z.account(team).carried = amount
}

// ClearInherited is called once nothing of the predecessor can run unknown.
func (z *ZoneQuota) ClearInherited(team unit.Team) {
	z.account(team).carried = unit.Resources{}
}

// BeginRelease takes the excess, or want if that is more, out of use, as far as
// nothing is charged to it, and returns the part for the caller to release in
// the log. It is taken out of use before the log is asked: once the release
// is in the log, another zone may spend it. There is one at a time: until
// FinishRelease, BeginRelease gives zero.
func (z *ZoneQuota) BeginRelease(team unit.Team, want unit.Resources) unit.Resources {
	a := z.account(team)
	if !a.returning.IsZero() {
		return unit.Resources{}
	}
	unused := a.allotment.Sub(a.charged()).Max(unit.Resources{})
	a.returning = a.excess.Max(want).Min(unused)
	return a.returning
}

// PendingRelease returns what BeginRelease took out of use last, for a resend. It is
// zero after FinishRelease.
func (z *ZoneQuota) PendingRelease(team unit.Team) unit.Resources {
	return z.account(team).returning
}

// FinishRelease ends what BeginRelease began. It is called once the fate of the release is sure:
// the log has applied it, or never will. A release whose answer was lost may
// still be applied; its fate is known once FleetQuota.Revision has moved on.
func (z *ZoneQuota) FinishRelease(team unit.Team, allotment, excess unit.Resources) {
	z.account(team).returning = unit.Resources{}
	z.Adjust(team, allotment, excess)
}
