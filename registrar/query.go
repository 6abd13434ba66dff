package registrar

import (
	"sort"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// AppliedIndex returns the index of the last applied command.
func (r *Registrar) AppliedIndex() replicator.Index {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Index
}

// Config returns the current configuration and its version. Version 0 means
// that no configuration has been accepted yet.
func (r *Registrar) Config() (parser.Config, unit.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config, r.state.Version
}

// ConfigText returns the text of the current configuration and its version.
func (r *Registrar) ConfigText() ([]byte, unit.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Text, r.state.Version
}

// ConfigHistory returns an entry for each of the latest accepted configurations,
// oldest first.
func (r *Registrar) ConfigHistory() []HistoryEntry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]HistoryEntry(nil), r.state.History...)
}

// Key returns the key with the given id and reports whether it is known.
func (r *Registrar) Key(id authenticator.KeyID) (authenticator.Key, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Ring.Key(id)
}

// Keys returns all keys, sorted by id.
func (r *Registrar) Keys() []authenticator.Key {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Ring.All()
}

// Zone returns the epoch and the holder of an availability zone.
func (r *Registrar) Zone(az unit.AvailabilityZone) Zone {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Zones[az]
}

// Allotments returns each team's allotment in a zone.
func (r *Registrar) Allotments(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Fleet.Allotments(az)
}

// AllotmentRevision returns the revision of a zone's allotment of a team's
// limit. It changes with every change of the allotment.
func (r *Registrar) AllotmentRevision(az unit.AvailabilityZone, team unit.Team) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Fleet.Revision(az, team)
}

// Excess returns how much of each team's allotment in a zone must be released
// because the team's limit was lowered.
func (r *Registrar) Excess(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Fleet.Excess(az)
}

// UnmetDemand returns how much of each team's limit other zones requested and
// didn't get. A zone releases unused parts of its allotment to meet it.
func (r *Registrar) UnmetDemand(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Fleet.UnmetDemand(az)
}

// Record returns the record of a request and reports whether there is one.
func (r *Registrar) Record(id unit.Request) (Record, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, ok := r.state.Records[id]
	return rec, ok
}

// OpenRecords returns the open records of a zone, sorted by request id. A new
// scheduler of the zone starts with them.
func (r *Registrar) OpenRecords(az unit.AvailabilityZone) []Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var open []Record
	for id := range r.open[az] {
		open = append(open, r.state.Records[id])
	}
	sort.Slice(open, func(i, j int) bool { return open[i].Request.ID < open[j].Request.ID })
	return open
}
