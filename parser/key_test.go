package parser

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

func TestServiceTasksOfZonesSumToCount(t *testing.T) {
	is := is.New(t)
	c := Config{AvailabilityZones: []AvailabilityZone{{Name: "a"}, {Name: "b", Lost: true}, {Name: "c"}, {Name: "d"}}}
	for count := range 12 {
		s := Service{Name: "web", Count: count}
		sum := 0
		for _, z := range c.AvailabilityZones {
			part := c.ServiceTasksIn(s, z.Name)
			is.True(part <= count/3+1)
			sum += part
		}
		is.Equal(sum, count)
		is.Equal(c.ServiceTasksIn(s, "b"), 0) // no task runs in a lost zone
	}
}

// TestWorkloadKeyDependsOnDefinition checks that a key changes with the fields
// of a definition, but not with the Count of a service.
func TestWorkloadKeyDependsOnDefinition(t *testing.T) {
	is := is.New(t)
	j := Job{Name: "proof", Tasks: 2}
	changed := j
	changed.Tasks = 3
	is.True(j.Key() != changed.Key())
	is.Equal(Service{Name: "web", Count: 1}.Key(), Service{Name: "web", Count: 9}.Key())
}

// TestWorkloadKeyIgnoresUnsetFields checks that a field which a later version of
// the program adds doesn't change the key of a text that doesn't set the field.
func TestWorkloadKeyIgnoresUnsetFields(t *testing.T) {
	is := is.New(t)
	type newerNeed struct {
		unit.Resources
		Licences unit.Count
	}
	type newerJob struct {
		Name  unit.Workload
		Tasks int
		Need  newerNeed
		Grace clock.Millis
		Zones []string
	}
	older := Job{Name: "proof", Tasks: 2, Need: unit.Resources{CPU: 1000}}
	newer := newerJob{Name: "proof", Tasks: 2, Need: newerNeed{Resources: older.Need}}
	is.Equal(newWorkloadKey("proof", newer), older.Key())
	newer.Grace = 1
	is.True(newWorkloadKey("proof", newer) != older.Key())
}

func TestLiveHomeZoneMovesOnlyFromLostZone(t *testing.T) {
	is := is.New(t)
	before := Config{AvailabilityZones: []AvailabilityZone{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	after := Config{AvailabilityZones: []AvailabilityZone{{Name: "a"}, {Name: "b", Lost: true}, {Name: "c"}}}
	for i := range 200 {
		id := string(rune('0' + i))
		was, _ := before.LiveHomeZone(id)
		now, _ := after.LiveHomeZone(id)
		is.True(now == was || was == unit.AvailabilityZone("b"))
		is.True(now != "b")
	}
}
