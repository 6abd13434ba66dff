package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// activeRuns returns the number of active runs.
func (o *observer) activeRuns() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, r := range o.runs {
		if r.isActive() {
			count++
		}
	}
	return count
}

// TestAllotmentMovesToZoneWithDemand submits all requests of a team in one zone. The
// team must get its whole limit there, never exceed it, and go down to a lowered
// limit.
func TestAllotmentMovesToZoneWithDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(t, defect{})
		defer sim.close()
		sim.addUpstream("ua1", "a", unit.Resources{CPU: 8000, Memory: 32 * unit.Gigabyte, Slots: 8, Connections: 8})
		sim.awaitHolder("a")
		sim.awaitHolder("b")
		for i := range 6 {
			id := unit.Request(fmt.Sprint("account/", i))
			sim.group.Go(func() error {
				sim.callUntilAnswered([]unit.Instance{"a1"}, "a", dispatcher.Request{
					ID: id, Queue: "holds", Team: "booking", Fresh: true, Repeatable: true, Data: []byte("20000"),
				}, time.Minute)
				return nil
			})
		}
		time.Sleep(10 * time.Second)
		is.Equal(sim.obs.activeRuns(), 4) // the whole limit of 4 cores, half of it from zone b

		lowered := strings.Replace(simulationConfig, `CPU: "4"`, `CPU: "2"`, 1)
		is.Equal(sim.log.commitExternal(registrar.PutConfig{ID: "lower", Base: 1, Text: []byte(lowered)}), registrar.ConfigAccepted{Version: 2})
		time.Sleep(6 * time.Second)
		is.Equal(sim.obs.activeRuns(), 2)
		is.Equal(sim.obs.allViolations(), nil)
	})
}
