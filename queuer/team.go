package queuer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// team is what the queuer knows of a team.
type team struct {
	name  unit.Team
	share int
	limit unit.Resources
	// held is the charge of its running tasks here, others what it holds in
	// the other zones by their last summary.
	held   unit.Resources
	others unit.Resources
	// stopping is the part of held that was told to stop, preemptible the part
	// that may be.
	stopping    unit.Resources
	preemptible unit.Resources
	accounts    []*account
	lanes       [classes]int
	// saving is a lane that waits for so much of the allotment that the team's
	// other lanes leave it the spare part.
	saving *lane
	// load orders the team in a pass.
	load float64
}

func (q *Queuer) team(name unit.Team) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, share: 1}
		q.teams[name] = t
		i, _ := slices.BinarySearchFunc(q.byName, name, func(o *team, n unit.Team) int { return cmp.Compare(o.name, n) })
		q.byName = slices.Insert(q.byName, i, t)
	}
	return t
}

func (t *team) account(name unit.ClientAccount) *account {
	i, found := slices.BinarySearchFunc(t.accounts, name, func(o *account, n unit.ClientAccount) int { return cmp.Compare(o.name, n) })
	if !found {
		t.accounts = slices.Insert(t.accounts, i, &account{name: name})
	}
	return t.accounts[i]
}

// SetTeams sets the teams and their shares. A team that isn't named any more
// keeps what it runs.
func (q *Queuer) SetTeams(teams []Team) {
	for _, t := range q.byName {
		t.share, t.limit = 1, unit.Resources{}
	}
	for _, named := range teams {
		t := q.team(named.Name)
		t.share, t.limit = max(1, named.Share), named.Limit
	}
	q.recheck = true
}

// SetAllotments sets the zone's allotment of each team's limit. A team that
// isn't named has none.
func (q *Queuer) SetAllotments(allotments map[unit.Team]unit.Resources) {
	q.AdjustAllotments(allotments, nil)
}

// AdjustAllotments sets the allotments as the log has them, and what of them
// must be given back. It returns the parts to release in the log, the same ones
// until FinishRelease is called. Before the first Decide nothing is given back: a
// new scheduler may not have called SetInherited yet.
func (q *Queuer) AdjustAllotments(allotments, excess map[unit.Team]unit.Resources) map[unit.Team]unit.Resources {
	release := map[unit.Team]unit.Resources{}
	before := q.zone.Allotments()
	names := maps.Clone(before)
	maps.Copy(names, allotments)
	for name := range names {
		q.zone.Adjust(name, allotments[name], excess[name])
		if q.now > 0 {
			q.zone.BeginRelease(name, unit.Resources{})
		}
		if part := q.zone.PendingRelease(name); !part.IsZero() {
			release[name] = part
		}
		if old, known := before[name]; !known || old != q.zone.Allotment(name) {
			q.allotmentChanged(name)
		}
	}
	return release
}

// FinishRelease ends the release of a part of a team's allotment: the log has applied
// it, or surely never will. It takes the allotment and excess in the log then.
func (q *Queuer) FinishRelease(name unit.Team, allotment, excess unit.Resources) {
	q.zone.FinishRelease(name, allotment, excess)
	q.allotmentChanged(name)
}

func (q *Queuer) allotmentChanged(name unit.Team) {
	q.freedAllotment(q.team(name))
	q.recheck = true
	q.checkOver = true
}

// SetRemoteAllocated sets what each team holds in the other zones, which is known late.
func (q *Queuer) SetRemoteAllocated(others map[unit.Team]unit.Resources) {
	for _, t := range q.byName {
		t.others = others[t.name]
	}
	for name, held := range others {
		q.team(name).others = held
	}
}

// Allocated returns what each team's tasks hold here, for the other zones.
func (q *Queuer) Allocated() map[unit.Team]unit.Resources {
	held := map[unit.Team]unit.Resources{}
	for _, t := range q.byName {
		if !t.held.IsZero() {
			held[t.name] = t.held
		}
	}
	return held
}

// Shortfalls returns what each team's waiting tasks lack of the allotment, for the
// scheduler to acquire.
func (q *Queuer) Shortfalls() map[unit.Team]unit.Resources {
	wants := map[unit.Team]unit.Resources{}
	for _, l := range q.lanes {
		if l.block == byLimit || l.block == bySaving {
			wants[l.key.team] = wants[l.key.team].Add(times(q.charge(l.first().Task), l.live))
		}
	}
	for name, want := range wants {
		wants[name] = want.Sub(q.zone.Available(name)).Max(unit.Resources{})
	}
	return wants
}

func times(r unit.Resources, n int) unit.Resources {
	v := r.Vector()
	for d := range v {
		v[d] *= int64(n)
	}
	return unit.FromVector(v)
}

// loadOf is the weighted dominant share: the largest fraction of the cell's
// resources, divided by the share.
func loadOf(held, total unit.Resources, share int) float64 {
	h, t := held.Vector(), total.Vector()
	var most float64
	for d := range h {
		if t[d] > 0 {
			most = max(most, float64(h[d])/float64(t[d]))
		}
	}
	return most / float64(share)
}
