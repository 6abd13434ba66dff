package queuer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// team is the state of a team in the zone.
type team struct {
	name  unit.Team
	share int
	limit unit.Resources
	// allocated is the charge of its running tasks in this zone,
	// remoteAllocated the same in the other zones, by their last summary.
	allocated       unit.Resources
	remoteAllocated unit.Resources
	// stopping is the part of allocated whose tasks have been told to stop,
	// preemptible the part whose tasks may still be preempted.
	stopping    unit.Resources
	preemptible unit.Resources
	accounts    []*account
	lanes       [numClasses]int
	// savingFor is a lane that has lacked allotment for so long that the team's
	// other lanes start nothing until it starts. It is nil if there is none.
	savingFor *lane
	// load orders the team in a pass; see setLoad.
	load float64
}

// team returns the state of a team, which it creates if needed.
func (q *Queuer) team(name unit.Team) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, share: 1}
		q.teams[name] = t
		i, _ := slices.BinarySearchFunc(q.teamsByName, name, func(other *team, n unit.Team) int { return cmp.Compare(other.name, n) })
		q.teamsByName = slices.Insert(q.teamsByName, i, t)
	}
	return t
}

// account returns the state of a client account, which it creates if needed.
func (t *team) account(name unit.ClientAccount) *account {
	i, found := slices.BinarySearchFunc(t.accounts, name, func(other *account, n unit.ClientAccount) int { return cmp.Compare(other.name, n) })
	if !found {
		t.accounts = slices.Insert(t.accounts, i, &account{name: name})
	}
	return t.accounts[i]
}

// SetTeams sets the shares and limits of teams. A team that isn't in the list gets
// a share of 1 and no known limit; its tasks keep running.
func (q *Queuer) SetTeams(teams []Team) {
	for _, t := range q.teamsByName {
		t.share, t.limit = 1, unit.Resources{}
	}
	for _, named := range teams {
		t := q.team(named.Name)
		t.share, t.limit = max(1, named.Share), named.Limit
	}
	q.passNeeded = true
}

// SetAllotments sets the zone's allotment of each team's limit, without excess. A
// team that isn't in the map has none.
func (q *Queuer) SetAllotments(allotments map[unit.Team]unit.Resources) {
	q.AdjustAllotments(allotments, nil)
}

// AdjustAllotments sets the allotments as they are in the log, and the excess that
// must be released from them. It returns the parts to release in the log, the
// same ones until FinishRelease is called. Before the first Decide it releases
// nothing, because a new scheduler may not have called SetInherited yet.
func (q *Queuer) AdjustAllotments(allotments, excess map[unit.Team]unit.Resources) map[unit.Team]unit.Resources {
	release := map[unit.Team]unit.Resources{}
	before := q.quota.Allotments()
	names := maps.Clone(before)
	maps.Copy(names, allotments)
	for name := range names {
		q.quota.Adjust(name, allotments[name], excess[name])
		if q.now > 0 {
			q.quota.BeginRelease(name, unit.Resources{})
		}
		if pending := q.quota.PendingRelease(name); !pending.IsZero() {
			release[name] = pending
		}
		if old, known := before[name]; !known || old != q.quota.Allotment(name) {
			q.allotmentChanged(name)
		}
	}
	return release
}

// FinishRelease ends the release of a part of a team's allotment, once the log has
// applied it or certainly never will. It sets the allotment and excess to the
// values that the log then has.
func (q *Queuer) FinishRelease(name unit.Team, allotment, excess unit.Resources) {
	q.quota.FinishRelease(name, allotment, excess)
	q.allotmentChanged(name)
}

func (q *Queuer) allotmentChanged(name unit.Team) {
	q.retryForAllotment(q.team(name))
	q.passNeeded = true
	q.checkOverage = true
}

// SetRemoteAllocated sets the resources that each team's tasks are charged in the
// other zones. The amounts may be out of date.
func (q *Queuer) SetRemoteAllocated(remote map[unit.Team]unit.Resources) {
	for _, t := range q.teamsByName {
		t.remoteAllocated = remote[t.name]
	}
	for name, allocated := range remote {
		q.team(name).remoteAllocated = allocated
	}
}

// Allocated returns the resources that each team's running tasks are charged in
// this zone, for SetRemoteAllocated in the other zones.
func (q *Queuer) Allocated() map[unit.Team]unit.Resources {
	allocated := map[unit.Team]unit.Resources{}
	for _, t := range q.teamsByName {
		if !t.allocated.IsZero() {
			allocated[t.name] = t.allocated
		}
	}
	return allocated
}

// Shortfalls returns how much allotment each team's waiting tasks lack, for the
// scheduler to acquire.
func (q *Queuer) Shortfalls() map[unit.Team]unit.Resources {
	shortfalls := map[unit.Team]unit.Resources{}
	for _, l := range q.lanes {
		if l.block == byAllotment || l.block == bySaving {
			shortfalls[l.key.team] = shortfalls[l.key.team].Add(times(q.chargeFor(l.first().Task), l.count))
		}
	}
	for name, want := range shortfalls {
		shortfalls[name] = want.Sub(q.quota.Available(name)).Max(unit.Resources{})
	}
	return shortfalls
}

// times returns n times r.
func times(r unit.Resources, n int) unit.Resources {
	v := r.Vector()
	for d := range v {
		v[d] *= int64(n)
	}
	return unit.FromVector(v)
}

// loadOf returns the weighted dominant share: the largest fraction of total in any
// dimension, divided by the share.
func loadOf(allocated, total unit.Resources, share int) float64 {
	allocatedVector, totalVector := allocated.Vector(), total.Vector()
	var largest float64
	for d := range allocatedVector {
		if totalVector[d] > 0 {
			largest = max(largest, float64(allocatedVector[d])/float64(totalVector[d]))
		}
	}
	return largest / float64(share)
}
