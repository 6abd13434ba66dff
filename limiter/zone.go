package limiter

import (
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// ZoneQuota tracks the allotments of one availability zone and the resources that
// are charged to them.
type ZoneQuota struct {
	teams     map[unit.Team]*account
	unchecked bool
}

// account is the state of one team.
type account struct {
	// allotment is the allotment in the log, excess the part of it that must be
	// released. releasing is the part whose release has begun: the log may still
	// contain it, but it isn't charged any more.
	allotment unit.Resources
	excess    unit.Resources
	releasing unit.Resources
	// allocated is the resources that the zone's tasks are charged.
	allocated unit.Resources
	// inherited is the resources that tasks of an earlier scheduler may use and
	// that Adopt hasn't charged yet.
	inherited unit.Resources
}

// NewZoneQuota returns a ZoneQuota without allotments.
func NewZoneQuota() *ZoneQuota {
	return &ZoneQuota{teams: map[unit.Team]*account{}}
}

// DisableChecks makes Reserve always succeed. Tests use it to check that the
// property tests detect an exceeded limit.
func (z *ZoneQuota) DisableChecks() { z.unchecked = true }

func (z *ZoneQuota) account(team unit.Team) *account {
	a := z.teams[team]
	if a == nil {
		a = &account{}
		z.teams[team] = a
	}
	return a
}

// spendable returns the part of the allotment that may be charged.
func (a *account) spendable() unit.Resources {
	return a.allotment.Sub(a.excess.Max(a.releasing)).Max(unit.Resources{})
}

// charged returns the resources that are charged to the allotment. Tasks that an
// earlier scheduler may have started are charged as if they ran.
func (a *account) charged() unit.Resources {
	return addCapped(a.allocated, a.inherited)
}

// Set sets a team's allotment to that in the log, without excess.
func (z *ZoneQuota) Set(team unit.Team, allotment unit.Resources) {
	z.Adjust(team, allotment, unit.Resources{})
}

// Adjust sets a team's allotment to that in the log, of which excess must be
// released. Nothing more is charged to the excess; BeginRelease releases it as
// tasks end.
func (z *ZoneQuota) Adjust(team unit.Team, allotment, excess unit.Resources) {
	a := z.account(team)
	a.allotment, a.excess = allotment, excess
}

// Allotments returns the resources that each team's tasks may be charged in total.
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
// A dimension in which the allotment is exceeded blocks only tasks that need it.
func (z *ZoneQuota) Shortfall(team unit.Team, need unit.Resources) unit.Resources {
	a := z.account(team)
	if z.unchecked {
		return unit.Resources{}
	}
	spendable := a.spendable().Vector()
	charged := a.charged().Vector()
	var shortfall [unit.Dimensions]int64
	for d, n := range need.Vector() {
		if n > 0 {
			shortfall[d] = max(0, charged[d]+n-spendable[d])
		}
	}
	return unit.FromVector(shortfall)
}

// Reserve charges need to a team's allotment and reports whether the allotment
// sufficed. It charges nothing if not.
func (z *ZoneQuota) Reserve(team unit.Team, need unit.Resources) bool {
	if !z.Fits(team, need) {
		return false
	}
	a := z.account(team)
	a.allocated = a.allocated.Add(need)
	return true
}

// Adopt charges a task that was found running, even if that exceeds the allotment.
// It reduces the amount that SetInherited set, since an earlier scheduler may have
// started the task.
func (z *ZoneQuota) Adopt(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.allocated = a.allocated.Add(need)
	a.inherited = a.inherited.Sub(need.Min(a.inherited))
}

// Unreserve ends a charge of Reserve or Adopt. It panics if less is charged.
func (z *ZoneQuota) Unreserve(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.allocated = a.allocated.Sub(need)
	if !(unit.Resources{}).Fits(a.allocated) {
		panic(fmt.Sprintf("limiter: team %s was uncharged more than it was charged: %+v", team, a.allocated))
	}
}

// Allotment returns the resources that a team's tasks may be charged in total.
func (z *ZoneQuota) Allotment(team unit.Team) unit.Resources {
	return z.account(team).spendable()
}

// Allocated returns the resources that a team's tasks are charged.
func (z *ZoneQuota) Allocated(team unit.Team) unit.Resources {
	return z.account(team).allocated
}

// Available returns the part of a team's allotment that nothing is charged to.
func (z *ZoneQuota) Available(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.spendable().Sub(a.charged()).Max(unit.Resources{})
}

// Over returns by how much each team's tasks exceed its allotment and must be
// stopped. It doesn't include inherited resources, whose tasks can't be stopped.
func (z *ZoneQuota) Over() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range z.teams {
		if overage := z.Overage(team); !overage.IsZero() {
			out[team] = overage
		}
	}
	return out
}

// Overage returns by how much one team's tasks exceed its allotment.
func (z *ZoneQuota) Overage(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.allocated.Sub(a.spendable()).Max(unit.Resources{})
}

// SetInherited charges a team's allotment with amount, which tasks that an earlier
// scheduler started may use. Adopt reduces it, ClearInherited ends it.
func (z *ZoneQuota) SetInherited(team unit.Team, amount unit.Resources) {
	z.account(team).inherited = amount
}

// ClearInherited ends the charge of SetInherited. Call it once no task of an
// earlier scheduler can run that wasn't adopted.
func (z *ZoneQuota) ClearInherited(team unit.Team) {
	z.account(team).inherited = unit.Resources{}
}

// BeginRelease begins to release the excess, or want if that is more, as far as
// nothing is charged to it. It returns the part that the caller must then release
// in the log. From now on nothing is charged to that part, because another zone
// may use it once the release is in the log. There is one release at a time:
// until FinishRelease, BeginRelease returns zero.
func (z *ZoneQuota) BeginRelease(team unit.Team, want unit.Resources) unit.Resources {
	a := z.account(team)
	if !a.releasing.IsZero() {
		return unit.Resources{}
	}
	unused := a.allotment.Sub(a.charged()).Max(unit.Resources{})
	a.releasing = a.excess.Max(want).Min(unused)
	return a.releasing
}

// PendingRelease returns the result of the last BeginRelease, so that the caller
// can repeat the release in the log. It is zero after FinishRelease.
func (z *ZoneQuota) PendingRelease(team unit.Team) unit.Resources {
	return z.account(team).releasing
}

// FinishRelease ends the release that BeginRelease began and adjusts the allotment.
// Call it once the log has applied the release or certainly never will. A release
// whose answer was lost may still be applied until FleetQuota.Revision has changed.
func (z *ZoneQuota) FinishRelease(team unit.Team, allotment, excess unit.Resources) {
	z.account(team).releasing = unit.Resources{}
	z.Adjust(team, allotment, excess)
}
