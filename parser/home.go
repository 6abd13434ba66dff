package parser

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/chervilvane/chervilvane/unit"
)

// HomeZone returns the home of a request: the availability zone whose scheduler
// owns the request and is the only one to start it. It returns false if there
// are no zones. Every instance computes the same home from the id, so a resent
// request reaches the same scheduler through any instance.
//
// An id of the form ZONE.REST names its home. Rendezvous hashing assigns any
// other id to one of the configured zones. These include lost zones, since
// removing a zone would change the home of requests in progress.
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

// rendezvous returns the zone with the highest score for an id, or false if
// there are no zones. When a zone is added or removed, only ids for which it
// has the highest score change their zone.
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

// HasZone reports whether the configuration lists a zone, lost or not.
func (c Config) HasZone(name unit.AvailabilityZone) bool {
	for _, z := range c.AvailabilityZones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// FindQueue returns the queue with the given name, or false if there is none.
func (c Config) FindQueue(name unit.Queue) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}
