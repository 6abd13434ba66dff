package limiter

import (
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// Zone is one availability zone's spending of its allotments.
type Zone struct {
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

// NewZone returns a zone without allotments.
func NewZone() *Zone {
	return &Zone{teams: map[unit.Team]*account{}}
}

// DisableChecks makes Reserve always succeed. It exists for the tests that
// show that the limit property notices.
func (z *Zone) DisableChecks() { z.unchecked = true }

func (z *Zone) account(team unit.Team) *account {
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
func (z *Zone) Set(team unit.Team, allotment unit.Resources) {
	z.Adjust(team, allotment, unit.Resources{})
}

// Adjust stores a team's allotment as the log has it, of which excess must be
// given back. The excess isn't spent from now on; Return gives it back as
// tasks end.
func (z *Zone) Adjust(team unit.Team, allotment, excess unit.Resources) {
	a := z.account(team)
	a.allotment, a.excess = allotment, excess
}

// Teams returns what each team may spend in all.
func (z *Zone) Teams() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team, a := range z.teams {
		out[team] = a.spendable()
	}
	return out
}

// Fits reports whether Reserve would succeed.
func (z *Zone) Fits(team unit.Team, need unit.Resources) bool {
	return z.Lacks(team, need).IsZero()
}

// Lacks returns what a team's allotment lacks for need, zero if it suffices.
// A dimension that is over its allotment holds up only work that needs it.
func (z *Zone) Lacks(team unit.Team, need unit.Resources) unit.Resources {
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
func (z *Zone) Reserve(team unit.Team, need unit.Resources) bool {
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
func (z *Zone) Adopt(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.held = a.held.Add(need)
	a.carried = a.carried.Sub(need.Min(a.carried))
}

// Free ends the charge of a task.
func (z *Zone) Free(team unit.Team, need unit.Resources) {
	a := z.account(team)
	a.held = a.held.Sub(need)
	if !(unit.Resources{}).Fits(a.held) {
		panic(fmt.Sprintf("limiter: team %s freed more than it held: %+v", team, a.held))
	}
}

// Allotment returns what a team may spend in all.
func (z *Zone) Allotment(team unit.Team) unit.Resources {
	return z.account(team).spendable()
}

// Held returns what a team's tasks hold.
func (z *Zone) Held(team unit.Team) unit.Resources {
	return z.account(team).held
}

// Spare returns the part of a team's allotment that nothing is charged to.
func (z *Zone) Spare(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.spendable().Sub(a.charged()).Max(unit.Resources{})
}

// Over returns how far each team's charges pass its allotment: what must stop.
// What is only carried can't be stopped and isn't counted here.
func (z *Zone) Over() map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range z.teams {
		if over := z.OverOf(team); !over.IsZero() {
			out[team] = over
		}
	}
	return out
}

// OverOf returns how far one team's charges pass its allotment.
func (z *Zone) OverOf(team unit.Team) unit.Resources {
	a := z.account(team)
	return a.held.Sub(a.spendable()).Max(unit.Resources{})
}

// Carry sets what a predecessor may have started and isn't known yet. It
// counts against the allotment until Adopt finds it or DropCarry ends it.
func (z *Zone) Carry(team unit.Team, amount unit.Resources) {
	z.account(team).carried = amount
}

// DropCarry is called once nothing of the predecessor can run unknown.
func (z *Zone) DropCarry(team unit.Team) {
	z.account(team).carried = unit.Resources{}
}

// Return takes the excess, or want if that is more, out of use, as far as
// nothing is charged to it, and returns the part for the caller to release in
// the log. It is taken out of use before the log is asked: once the release
// is in the log, another zone may spend it. There is one at a time: until
// Returned, Return gives zero.
func (z *Zone) Return(team unit.Team, want unit.Resources) unit.Resources {
	a := z.account(team)
	if !a.returning.IsZero() {
		return unit.Resources{}
	}
	unused := a.allotment.Sub(a.charged()).Max(unit.Resources{})
	a.returning = a.excess.Max(want).Min(unused)
	return a.returning
}

// Returning returns what Return took out of use last, for a resend. It is
// zero after Returned.
func (z *Zone) Returning(team unit.Team) unit.Resources {
	return z.account(team).returning
}

// Returned ends a Return. It is called once the fate of the release is sure:
// the log has applied it, or never will. A release whose answer was lost may
// still be applied; its fate is known once Fleet.Change has moved on.
func (z *Zone) Returned(team unit.Team, allotment, excess unit.Resources) {
	z.account(team).returning = unit.Resources{}
	z.Adjust(team, allotment, excess)
}
