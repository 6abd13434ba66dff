// Package summarizer tells the schedulers of the other zones what each team
// holds in this one, so that shares are kept over the fleet and not in each
// zone alone.
//
// A summary is small and late, and may be lost: the next one replaces it.
// Nothing that must always hold rests on it.
package summarizer

import (
	"context"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Method is the mesh method that carries a summary.
const Method instance.Method = "scheduler.held"

// interval is the time between summaries. At 140 teams and 15 zones a summary
// of all costs about 16 KB/s at this interval.
const interval = 5 * clock.Second

// Scheduler is the zone scheduler in this process.
type Scheduler interface {
	Allocated() (held map[unit.Team]unit.Resources, ok bool)
	RecordZoneAllocated(az unit.AvailabilityZone, held map[unit.Team]unit.Resources)
}

// Config of a Summarizer.
type Config struct {
	AvailabilityZone unit.AvailabilityZone
	State            *registrar.Registrar
	Scheduler        Scheduler
	// Send sends a message that may be lost; it doesn't block.
	Send func(to unit.Instance, m instance.Method, body []byte)
}

// Summarizer sends this zone's summaries while this instance schedules it.
type Summarizer struct{ c Config }

// New returns a Summarizer; Run starts it.
func New(c Config) *Summarizer { return &Summarizer{c: c} }

// summary is what goes over the mesh.
type summary struct {
	AvailabilityZone unit.AvailabilityZone
	Held             map[unit.Team]unit.Resources
}

// Run sends summaries until the context ends.
func (s *Summarizer) Run(ctx context.Context) error {
	clock.Every(ctx, interval, s.Tell)
	return nil
}

// Tell sends one summary to the scheduler of each other zone.
func (s *Summarizer) Tell() {
	held, holding := s.c.Scheduler.Allocated()
	if !holding {
		return
	}
	body := encoder.Marshal(summary{s.c.AvailabilityZone, held})
	config, _ := s.c.State.Config()
	for _, z := range config.AvailabilityZones {
		holder := s.c.State.Zone(z.Name).Holder
		if z.Name != s.c.AvailabilityZone && holder != "" && !z.Lost {
			s.c.Send(holder, Method, body)
		}
	}
}

// Handle serves Method.
func (s *Summarizer) Handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var m summary
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	s.c.Scheduler.RecordZoneAllocated(m.AvailabilityZone, m.Held)
	return nil, nil
}
