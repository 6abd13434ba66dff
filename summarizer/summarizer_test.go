package summarizer_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/summarizer"
	"github.com/chervilvane/chervilvane/unit"
)

// zone is the scheduler of one zone.
type zone struct {
	held    map[unit.Team]unit.Resources
	holding bool
	heard   map[unit.AvailabilityZone]map[unit.Team]unit.Resources
}

func (z *zone) Allocated() (map[unit.Team]unit.Resources, bool) { return z.held, z.holding }

func (z *zone) RecordZoneAllocated(az unit.AvailabilityZone, held map[unit.Team]unit.Resources) {
	z.heard[az] = held
}

func TestTell(t *testing.T) {
	cases := map[string]struct {
		holding bool
		want    map[unit.AvailabilityZone]map[unit.Team]unit.Resources
	}{
		"the scheduler tells": {holding: true, want: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{"a": {"booking": {CPU: 3000}}}},
		"others are silent":   {want: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := registrar.New()
			for i, command := range []registrar.Command{
				registrar.PutConfig{Text: []byte("AvailabilityZones: [{Name: a}, {Name: b}, {Name: c, Lost: true}]")},
				registrar.TakeZone{AvailabilityZone: "b", Instance: "b1"},
				registrar.TakeZone{AvailabilityZone: "c", Instance: "c1"},
			} {
				state.Apply(replicator.Index(i+1), registrar.EncodeCommand(command))
			}
			b := &zone{heard: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{}}
			receiver := summarizer.New(summarizer.Config{Scheduler: b})
			sender := summarizer.New(summarizer.Config{
				AvailabilityZone: "a", State: state,
				Scheduler: &zone{holding: c.holding, held: map[unit.Team]unit.Resources{"booking": {CPU: 3000}}},
				Send: func(to unit.Instance, _ instance.Method, body []byte) {
					is.Equal(to, unit.Instance("b1")) // not the lost zone, not itself
					_, err := receiver.Handle(context.Background(), "a1", body)
					is.NoErr(err)
				},
			})
			sender.Tell()
			is.Equal(b.heard, c.want)
		})
	}
}
