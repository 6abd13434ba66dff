package parser

import "github.com/chervilvane/chervilvane/unit"

// Queue returns the queue of a name.
func (c Config) Queue(name unit.Queue) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Team returns the team of a name.
func (c Config) Team(name unit.Team) (Team, bool) {
	for _, t := range c.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// AvailabilityZone returns the availability zone of a name.
func (c Config) AvailabilityZone(name unit.AvailabilityZone) (AvailabilityZone, bool) {
	for _, z := range c.AvailabilityZones {
		if z.Name == name {
			return z, true
		}
	}
	return AvailabilityZone{}, false
}
