package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// State is whether an upstream gets new tasks and, if not, the reason.
type State string

// The states of upstreams.
const (
	Ready       State = "Ready"
	Departing   State = "Departing"
	Quarantined State = "Quarantined"
	Gone        State = "Gone"
)

// Status describes an upstream for the status page.
type Status struct {
	ID   unit.Upstream
	Rack unit.Rack
	// Holds is the upstream's capacity.
	Holds unit.Resources
	// Used is the resources that its tasks are charged.
	Used unit.Resources
	// Claimed is kept free for tasks that wait for others to end there.
	Claimed unit.Resources
	Tasks   int
	State   State
}

// Status returns the status of each known upstream, in the order of the slots.
func (c *Cell) Status() []Status {
	out := make([]Status, 0, len(c.slots))
	for _, u := range c.slots {
		if u == nil {
			continue
		}
		out = append(out, Status{
			ID:      u.ID,
			Rack:    u.Rack,
			Holds:   u.Capacity,
			Used:    u.used,
			Claimed: u.urgentClaimed.Add(u.groupClaimed),
			Tasks:   len(u.tasks),
			State:   u.state(),
		})
	}
	return out
}

func (u *upstream) state() State {
	switch {
	case u.gone:
		return Gone
	case u.Unschedulable:
		return Departing
	case u.quarantined:
		return Quarantined
	default:
		return Ready
	}
}
