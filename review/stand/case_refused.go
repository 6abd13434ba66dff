//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tenantKeys are the keys of the tenant at first.
var tenantKeys = []string{"6x73d3zji9n73hh2b9wu", "3fexd9dnn2ctnfzs989a", "t0m1rk8dd2vq5yh7c4xe", "p9w2ls6gaz1ub8nj3fko", "z4h8qe1wn7yd3xk5rc2v", "m6b9ta0uf4gj8so1pi7l"}

// playRefused takes five of the tenant's keys away, one after the other, while
// clients hand jobs in with them. Each time the leader is killed shortly before. No
// task may start of a job of which each attempt was rejected.
func playRefused(c *cluster, trouble bool) (int, error) {
	const (
		clients = 40
		revokes = 5
	)
	body, err := json.Marshal(job{Spec: "work 1000", Steps: []step{{Count: 1, CPU: 100, MemMb: 64, EstimateMs: 1000}}})
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	rejected := map[string]int{}
	for i := range revokes {
		stop := make(chan struct{})
		var group, disturbance sync.WaitGroup
		for range clients {
			group.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					id := newID()
					status, text := c.callAs(tenantKeys[i], http.MethodPost, id, body)
					c.rec.printf("client: POST %s: %d %.100q", id, status, text)
					switch status {
					case http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable:
						mu.Lock()
						rejected[id] = status
						mu.Unlock()
						time.Sleep(time.Second)
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		leader := c.leader()
		if leader == nil {
			return 0, fmt.Errorf("found no leader")
		}
		if trouble {
			disturbance.Go(func() {
				leader.kill()
				time.Sleep(time.Second)
				if err := leader.start(); err != nil {
					c.rec.printf("%s: %v", leader.name, err)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		c.rec.printf("operator: takes the key %s away", tenantKeys[i])
		var operators sync.WaitGroup
		var failed [2]error
		for o := range failed {
			operators.Go(func() { failed[o] = c.configure(tenantKeys[i+1:]...) })
		}
		operators.Wait()
		if err := errors.Join(failed[:]...); err != nil {
			return 0, err
		}
		time.Sleep(500 * time.Millisecond)
		close(stop)
		group.Wait()
		disturbance.Wait()
		c.sleep(8*time.Second, "the system recovers and the accepted jobs run")
	}
	breaks := 0
	for _, w := range c.workers {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, r := range w.history {
			if status := rejected[r.task[:16]]; status != 0 {
				breaks++
				c.rec.printf("BROKEN: %s run %d started on %s, and the only attempt to hand its job in was answered %d", r.task, r.run, w.id, status)
			}
		}
	}
	return breaks, nil
}
