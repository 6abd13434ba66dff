package loader

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// timingPlaces holds the places of the spans that contradictions are reported
// at.
type timingPlaces struct {
	election, zoneLease, taskLease, keyFreshness, all decoder.Value
}

// HeartbeatsPerElection is the number of heartbeats that must fit into
// Election, so that a few lost ones don't depose a healthy leader.
const HeartbeatsPerElection = 5

func (r *reader) readTiming(v decoder.Value) {
	t, p := &r.settings.Timing, &r.timing
	p.all = v
	v.Object(decoder.Fields{
		"Heartbeat":    func(v decoder.Value) { readSpan(v, &t.Heartbeat, nil, 10, 10*clock.Second) },
		"Election":     func(v decoder.Value) { readSpan(v, &t.Election, &p.election, 50, clock.Minute) },
		"ZoneLease":    func(v decoder.Value) { readSpan(v, &t.ZoneLease, &p.zoneLease, 100, 5*clock.Minute) },
		"TaskLease":    func(v decoder.Value) { readSpan(v, &t.TaskLease, &p.taskLease, 500, clock.Hour) },
		"KeyFreshness": func(v decoder.Value) { readSpan(v, &t.KeyFreshness, &p.keyFreshness, clock.Second, 10*clock.Second) },
		"Drain":        func(v decoder.Value) { readSpan(v, &t.Drain, nil, 0, clock.Hour) },
	})
}

// readSpan replaces a default. A span that can't be read leaves the default,
// so that it causes no findings about other spans.
func readSpan(v decoder.Value, into *clock.Millis, place *decoder.Value, low, high clock.Millis) {
	if place != nil {
		*place = v
	}
	if m, ok := v.Duration(low, high); ok {
		*into = m
	}
}

// checkTiming rejects spans that contradict one another. The finding stands at
// the first named span of the two, or at Timing when neither is named.
func (r *reader) checkTiming() {
	t, p := r.settings.Timing, r.timing
	if t.Election < HeartbeatsPerElection*t.Heartbeat {
		p.at(p.election).Reject("Election is %s; it must be at least %d heartbeats of %s",
			decoder.FormatDuration(t.Election), HeartbeatsPerElection, decoder.FormatDuration(t.Heartbeat))
	}
	if t.ZoneLease < t.Election {
		p.at(p.zoneLease).Reject("ZoneLease is %s; it must be at least Election (%s), or each election interrupts the zones",
			decoder.FormatDuration(t.ZoneLease), decoder.FormatDuration(t.Election))
	}
	if t.TaskLease < t.ZoneLease {
		p.at(p.taskLease).Reject("TaskLease is %s; it must be at least ZoneLease (%s), or tasks end before a new scheduler can renew them",
			decoder.FormatDuration(t.TaskLease), decoder.FormatDuration(t.ZoneLease))
	}
	if t.KeyFreshness <= t.Election {
		p.at(p.keyFreshness).Reject("KeyFreshness is %s; it must be above Election (%s), or each election refuses keyed work",
			decoder.FormatDuration(t.KeyFreshness), decoder.FormatDuration(t.Election))
	}
}

// at returns the place of a span that the file names, or else of Timing.
func (p timingPlaces) at(v decoder.Value) decoder.Value {
	if v.IsPresent() {
		return v
	}
	return p.all
}
