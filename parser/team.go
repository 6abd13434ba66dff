package parser

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

func (r *reader) readTeams(v decoder.Value) {
	v.List(func(v decoder.Value) {
		t := Team{Limit: unlimited()}
		v.Object(decoder.Fields{
			"Name":  func(v decoder.Value) { setName(&t.Name, r.teams.read(v)) },
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

// readResources replaces the dimensions that the text names.
func readResources(v decoder.Value, into *unit.Resources) {
	v.Object(decoder.Fields{
		"CPU":          func(v decoder.Value) { into.CPU = v.CPU() },
		"Memory":       func(v decoder.Value) { into.Memory = v.Memory() },
		"Accelerators": func(v decoder.Value) { into.Accelerators = v.Count() },
		"Slots":        func(v decoder.Value) { into.Slots = v.Count() },
		"Connections":  func(v decoder.Value) { into.Connections = v.Count() },
	})
}

// need is what one task takes. A task takes a slot unless the text says
// otherwise.
func defaultNeed() unit.Resources {
	return unit.Resources{Slots: 1}
}

// readNeed reads what one task takes. A task that takes nothing would escape
// every limit.
func readNeed(v decoder.Value, into *unit.Resources) {
	readResources(v, into)
	if into.IsZero() {
		v.Reject("the need is zero in every dimension; at least one must be above zero")
	}
}
