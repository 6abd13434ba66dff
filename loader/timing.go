package loader

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
)

// timingValues holds the values to which findings about contradicting durations
// refer.
type timingValues struct {
	election, zoneLease, taskLease, freshness, timing decoder.Value
}

// HeartbeatsPerElection is the minimum ratio of Election to Heartbeat. It keeps a
// few lost heartbeats from causing an election while the leader is healthy.
const HeartbeatsPerElection = 5

func (r *reader) readTiming(v decoder.Value) {
	t, tv := &r.settings.Timing, &r.timingValues
	tv.timing = v
	v.Object(decoder.Fields{
		"Heartbeat":    func(v decoder.Value) { readDuration(v, &t.Heartbeat, nil, 10, 10*clock.Second) },
		"Election":     func(v decoder.Value) { readDuration(v, &t.Election, &tv.election, 50, clock.Minute) },
		"ZoneLease":    func(v decoder.Value) { readDuration(v, &t.ZoneLease, &tv.zoneLease, 100, 5*clock.Minute) },
		"TaskLease":    func(v decoder.Value) { readDuration(v, &t.TaskLease, &tv.taskLease, 500, clock.Hour) },
		"KeyFreshness": func(v decoder.Value) { readDuration(v, &t.KeyFreshness, &tv.freshness, clock.Second, 10*clock.Second) },
		"Drain":        func(v decoder.Value) { readDuration(v, &t.Drain, nil, 0, clock.Hour) },
	})
}

// readDuration replaces the default in dst and stores v in dstValue, if not nil.
// An invalid duration leaves the default in place, so that it causes no findings
// about other durations.
func readDuration(v decoder.Value, dst *clock.Millis, dstValue *decoder.Value, low, high clock.Millis) {
	if dstValue != nil {
		*dstValue = v
	}
	if m, ok := v.Duration(low, high); ok {
		*dst = m
	}
}

// checkTiming rejects durations that contradict each other.
func (r *reader) checkTiming() {
	t, tv := r.settings.Timing, r.timingValues
	if t.Election < HeartbeatsPerElection*t.Heartbeat {
		tv.valueOrTiming(tv.election).Reject("Election is %s; it must be at least %d heartbeats of %s",
			decoder.FormatDuration(t.Election), HeartbeatsPerElection, decoder.FormatDuration(t.Heartbeat))
	}
	if t.ZoneLease < t.Election {
		tv.valueOrTiming(tv.zoneLease).Reject("ZoneLease is %s; it must be at least Election (%s), or each election interrupts the zones",
			decoder.FormatDuration(t.ZoneLease), decoder.FormatDuration(t.Election))
	}
	if t.TaskLease < t.ZoneLease {
		tv.valueOrTiming(tv.taskLease).Reject("TaskLease is %s; it must be at least ZoneLease (%s), or tasks end before a new scheduler can renew them",
			decoder.FormatDuration(t.TaskLease), decoder.FormatDuration(t.ZoneLease))
	}
	if t.KeyFreshness <= t.Election {
		tv.valueOrTiming(tv.freshness).Reject("KeyFreshness is %s; it must be above Election (%s), or each election refuses keyed work",
			decoder.FormatDuration(t.KeyFreshness), decoder.FormatDuration(t.Election))
	}
}

// valueOrTiming returns v, or the value of Timing if the file doesn't set v.
// Without Timing there are no contradictions, since the defaults agree.
func (t timingValues) valueOrTiming(v decoder.Value) decoder.Value {
	if v.IsPresent() {
		return v
	}
	return t.timing
}
