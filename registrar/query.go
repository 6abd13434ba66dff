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
	return r.st.Index
}

// Config returns the configuration in force and its version; version 0 means
// that none was accepted yet.
func (r *Registrar) Config() (parser.Config, unit.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.config, r.st.Version
}

// ConfigText returns the operator's text in force and its version.
func (r *Registrar) ConfigText() ([]byte, unit.Version) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Text, r.st.Version
}

// ConfigHistory returns the accepted configurations, oldest first.
func (r *Registrar) ConfigHistory() []HistoryEntry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return append([]HistoryEntry(nil), r.st.History...)
}

// Key returns a key by its id.
func (r *Registrar) Key(id authenticator.KeyID) (authenticator.Key, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Ring.Key(id)
}

// Keys returns all keys, in the order of their ids.
func (r *Registrar) Keys() []authenticator.Key {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Ring.All()
}

// Zone returns who schedules an availability zone.
func (r *Registrar) Zone(az unit.AvailabilityZone) Zone {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Zones[az]
}

// Allotments returns each team's allotment in a zone.
func (r *Registrar) Allotments(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Fleet.Allotments(az)
}

// AllotmentRevision returns the change number of a zone's allotment of a team's
// limit.
func (r *Registrar) AllotmentRevision(az unit.AvailabilityZone, team unit.Team) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Fleet.Revision(az, team)
}

// Excess returns how much of each team's allotment in a zone must be given
// back since the team's limit was lowered.
func (r *Registrar) Excess(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Fleet.Excess(az)
}

// UnmetDemand returns what other zones asked for in vain of each team's limit; a
// zone with spare parts of its allotment gives them back.
func (r *Registrar) UnmetDemand(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.st.Fleet.UnmetDemand(az)
}

// Record returns what the log holds of a request.
func (r *Registrar) Record(id unit.Request) (Record, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, ok := r.st.Records[id]
	return rec, ok
}

// OpenRecords returns the open records that are at home in a zone, in the
// order of their ids. A new scheduler of the zone starts from them.
func (r *Registrar) OpenRecords(az unit.AvailabilityZone) []Record {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var open []Record
	for id := range r.open[az] {
		open = append(open, r.st.Records[id])
	}
	sort.Slice(open, func(i, j int) bool { return open[i].Request.ID < open[j].Request.ID })
	return open
}
