//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playBatch lets 40 clients hand in one large job each: usually within two seconds, in
// a burst all at once. finishTime after that, the jobs that were accepted are asked
// for, and a task that lasts has to run.
func playBatch(c *cluster, burst bool) (int, error) {
	const (
		clients    = 40
		usualGap   = 45 * time.Millisecond
		finishTime = 14 * time.Second
		steps      = 900
		attempts   = 5
	)
	lasting, err := c.submit(job{Spec: "lasts", Steps: []step{{Count: 1, CPU: 200, MemMb: 64, EstimateMs: 300, LongRunning: true}}}, 10*time.Second)
	if err != nil {
		return 0, err
	}
	if err := c.awaitRunning(1, 5*time.Second); err != nil {
		return 0, err
	}
	large := job{Spec: "work 300"}
	for i := range steps {
		st := step{Count: 1, CPU: 20, MemMb: 10, EstimateMs: 300, Image: fmt.Sprintf("registry.example:5000/co-op/portal-red/nightly/rain-grid/caribbean-lowlands/central-valley/tile-%04d/rebuild-from-stations:2026-12-05@sha256:%064x", i, i*7919)}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		large.Steps = append(large.Steps, st)
	}
	body, err := json.Marshal(large)
	if err != nil {
		return 0, err
	}
	c.rec.printf("a large job has %d bytes", len(body))
	var mu sync.Mutex
	accepted := []string{lasting}
	var group sync.WaitGroup
	for range clients {
		if !burst {
			time.Sleep(usualGap)
		}
		group.Go(func() {
			id := newID()
			status, text := c.call(http.MethodPost, id, body)
			c.rec.printf("client: POST %s (%d bytes): %d %.100q", id, len(body), status, text)
			if status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	group.Wait()
	c.sleep(finishTime, "the traffic has ended")
	for _, n := range c.nodes() {
		if !n.isRunning() {
			return 0, fmt.Errorf("%s has ended", n.name)
		}
	}
	breaks := 0
	var ask sync.WaitGroup
	for _, id := range accepted {
		ask.Go(func() {
			for range attempts {
				status, text := c.call(http.MethodGet, id, nil)
				c.rec.printf("client: GET %s: %d %.100q", id, status, text)
				if status == http.StatusOK {
					return
				}
				time.Sleep(time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			breaks++
			c.rec.printf("BROKEN: LOST: the accepted job %s gets no answer", id)
		})
	}
	ask.Wait()
	if w := c.runningTasks()[lasting+".0.0.0"]; w == nil {
		breaks++
		c.rec.printf("BROKEN: LOST: the task %s.0.0.0 that lasts doesn't run", lasting)
	}
	return breaks, nil
}
