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

// active returns how many observed runs go on now.
func (o *observer) active() int {
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

// TestAllotmentsMoveToWhereTheWorkIs puts all of a team's work into one zone:
// it may use the whole limit there, never more, and goes below a lowered limit.
func TestAllotmentsMoveToWhereTheWorkIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, flaw{})
		defer w.close()
		w.addUpstream("ua1", "a", unit.Resources{CPU: 8000, Memory: 32 * unit.Gigabyte, Slots: 8, Connections: 8})
		w.awaitHolder("a")
		w.awaitHolder("b")
		for i := range 6 {
			id := unit.Request(fmt.Sprint("account/", i))
			w.group.Go(func() error {
				w.call([]unit.Instance{"a1"}, "a", dispatcher.Request{
					ID: id, Queue: "holds", Team: "booking", Fresh: true, Repeatable: true, Data: []byte("20000"),
				}, time.Minute)
				return nil
			})
		}
		time.Sleep(10 * time.Second)
		is.Equal(w.obs.active(), 4) // the whole limit of 4 cores, half of it from zone b

		lowered := strings.Replace(worldText, `CPU: "4"`, `CPU: "2"`, 1)
		is.Equal(w.log.put(registrar.PutConfig{ID: "lower", Base: 1, Text: []byte(lowered)}), registrar.ConfigAccepted{Version: 2})
		time.Sleep(6 * time.Second)
		is.Equal(w.obs.active(), 2)
		is.Equal(w.obs.found(), nil)
	})
}
