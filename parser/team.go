package parser

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

func (r *reader) readTeams(v decoder.Value) {
	v.List(func(v decoder.Value) {
		t := Team{Limit: unlimited()}
		v.Object(decoder.Fields{
			"Name":  func(v decoder.Value) { setName(&t.Name, r.teams.readUnique(v)) },
			"Share": func(v decoder.Value) { t.Share = int(v.Integer(1, MaxShare)) },
			"Limit": func(v decoder.Value) { readResources(v, &t.Limit) },
		}, "Name", "Share")
		r.config.Teams = append(r.config.Teams, t)
	})
}

func unlimited() unit.Resources {
	return unit.Resources{
		CPU:          unit.Unlimited,
		Memory:       unit.Unlimited,
		Accelerators: unit.Unlimited,
		Slots:        unit.Unlimited,
		Connections:  unit.Unlimited,
	}
}

// readResources sets the dimensions of dst that the text sets and leaves the
// others as they are.
func readResources(v decoder.Value, dst *unit.Resources) {
	v.Object(decoder.Fields{
		"CPU":          func(v decoder.Value) { dst.CPU = v.CPU() },
		"Memory":       func(v decoder.Value) { dst.Memory = v.Memory() },
		"Accelerators": func(v decoder.Value) { dst.Accelerators = v.Count() },
		"Slots":        func(v decoder.Value) { dst.Slots = v.Count() },
		"Connections":  func(v decoder.Value) { dst.Connections = v.Count() },
	})
}

// defaultNeed returns the need of a task before the text changes it: one slot.
func defaultNeed() unit.Resources {
	return unit.Resources{Slots: 1}
}

// readNeed reads the need of a task. It rejects a zero need, which no limit
// would bound.
func readNeed(v decoder.Value, dst *unit.Resources) {
	readResources(v, dst)
	if dst.IsZero() {
		v.Reject("the need is zero in every dimension; at least one must be above zero")
	}
}
