// Package summarizer sends each team's allocated resources in this zone to the
// schedulers of the other zones, so that fair shares apply to the whole fleet and
// not to each zone alone.
//
// A summary is small. It may arrive late or be lost: the next one replaces it. No
// invariant may depend on summaries.
package summarizer

import (
	"context"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Method is the mesh method that sends a summary.
const Method instance.Method = "scheduler.held"

// sendInterval is the time between two summaries. With 140 teams and 15 zones, all
// summaries together cost about 16 KB/s at this interval.
const sendInterval = 5 * clock.Second

// Scheduler is the zone scheduler of this instance.
type Scheduler interface {
	// Allocated returns the allocated resources of each team in this zone. ok is
	// false if this instance doesn't schedule the zone.
	Allocated() (allocated map[unit.Team]unit.Resources, ok bool)
	// SetZoneAllocated replaces the known allocated resources of another zone.
	SetZoneAllocated(az unit.AvailabilityZone, allocated map[unit.Team]unit.Resources)
}

// Config configures a Summarizer.
type Config struct {
	AvailabilityZone unit.AvailabilityZone
	State            *registrar.Registrar
	Scheduler        Scheduler
	// Send sends a message, which may be lost. It must not block.
	Send func(to unit.Instance, m instance.Method, body []byte)
}

// Summarizer sends the summaries of a zone while this instance schedules it.
type Summarizer struct{ config Config }

// New returns a Summarizer. The caller must call Run, which sends the summaries.
func New(c Config) *Summarizer { return &Summarizer{config: c} }

// summary is the body of a message. Its fields are encoded under their names.
type summary struct {
	AvailabilityZone unit.AvailabilityZone
	// Held is the allocated resources of each team in the zone.
	Held map[unit.Team]unit.Resources
}

// Run sends summaries until the context ends.
func (s *Summarizer) Run(ctx context.Context) error {
	clock.Every(ctx, sendInterval, s.SendSummaries)
	return nil
}

// SendSummaries sends a summary to the scheduler of each other zone. It does
// nothing if this instance doesn't schedule its zone.
func (s *Summarizer) SendSummaries() {
	allocated, ok := s.config.Scheduler.Allocated()
	if !ok {
		return
	}
	body := encoder.Marshal(summary{s.config.AvailabilityZone, allocated})
	config, _ := s.config.State.Config()
	for _, z := range config.AvailabilityZones {
		holder := s.config.State.Zone(z.Name).Holder
		if z.Name != s.config.AvailabilityZone && holder != "" && !z.Lost {
			s.config.Send(holder, Method, body)
		}
	}
}

// Handle serves Method: it passes a received summary to the scheduler.
func (s *Summarizer) Handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var m summary
	if err := encoder.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	s.config.Scheduler.SetZoneAllocated(m.AvailabilityZone, m.Held)
	return nil, nil
}
