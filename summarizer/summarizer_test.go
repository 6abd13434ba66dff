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

// scheduler is the zone scheduler of one instance.
type scheduler struct {
	allocated map[unit.Team]unit.Resources
	holder    bool
	received  map[unit.AvailabilityZone]map[unit.Team]unit.Resources
}

func (s *scheduler) Allocated() (map[unit.Team]unit.Resources, bool) { return s.allocated, s.holder }

func (s *scheduler) SetZoneAllocated(az unit.AvailabilityZone, allocated map[unit.Team]unit.Resources) {
	s.received[az] = allocated
}

func TestSendSummaries(t *testing.T) {
	cases := map[string]struct {
		holder bool
		want   map[unit.AvailabilityZone]map[unit.Team]unit.Resources
	}{
		"scheduler of the zone": {holder: true, want: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{"a": {"booking": {CPU: 3000}}}},
		"other instance":        {want: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{}},
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
			b := &scheduler{received: map[unit.AvailabilityZone]map[unit.Team]unit.Resources{}}
			receiver := summarizer.New(summarizer.Config{Scheduler: b})
			sender := summarizer.New(summarizer.Config{
				AvailabilityZone: "a", State: state,
				Scheduler: &scheduler{holder: c.holder, allocated: map[unit.Team]unit.Resources{"booking": {CPU: 3000}}},
				Send: func(to unit.Instance, _ instance.Method, body []byte) {
					is.Equal(to, unit.Instance("b1")) // neither the lost zone c nor the sender's own zone
					_, err := receiver.Handle(context.Background(), "a1", body)
					is.NoErr(err)
				},
			})
			sender.SendSummaries()
			is.Equal(b.received, c.want)
		})
	}
}
