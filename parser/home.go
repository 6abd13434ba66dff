package parser

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilvane/chervilvane/unit"
)

// HomeZone returns the availability zone whose scheduler owns a request or a piece
// of the text's work: the only one that ever starts it. Every instance computes
// the same home from the id, so a resend reaches the same scheduler wherever it
// enters.
//
// An id of the form ZONE.REST names its home. Any other id is spread over the
// configured zones by rendezvous hashing; lost zones stay in the set, since
// taking one out would move the homes of requests in progress.
func (c Config) HomeZone(id string) (unit.AvailabilityZone, bool) {
	prefix, _, named := strings.Cut(id, ".")
	if named && c.HasZone(unit.AvailabilityZone(prefix)) {
		return unit.AvailabilityZone(prefix), true
	}
	names := make([]unit.AvailabilityZone, 0, len(c.AvailabilityZones))
	for _, z := range c.AvailabilityZones {
		names = append(names, z.Name)
	}
	return rendezvous(names, id)
}

// rendezvous returns the zone with the highest score for an id: when a zone
// goes or comes, only the ids that it wins move.
func rendezvous(zones []unit.AvailabilityZone, id string) (unit.AvailabilityZone, bool) {
	var best unit.AvailabilityZone
	var bestScore uint64
	for _, z := range zones {
		score := xxhash.Sum64String(string(z) + "\x00" + id)
		if best == "" || score > bestScore {
			best, bestScore = z, score
		}
	}
	return best, best != ""
}

// HasZone reports whether the configuration names a zone.
func (c Config) HasZone(name unit.AvailabilityZone) bool {
	for _, z := range c.AvailabilityZones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// FindQueue returns the queue of a name.
func (c Config) FindQueue(name unit.Queue) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
