//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tenantKeys are the keys of the tenant at first.
var tenantKeys = []string{
	"6x73d3zji9n73hh2b9wu", "3fexd9dnn2ctnfzs989a", "t0m1rk8dd2vq5yh7c4xe",
	"p9w2ls6gaz1ub8nj3fko", "z4h8qe1wn7yd3xk5rc2v", "m6b9ta0uf4gj8so1pi7l",
}

// wave is a number of jobs that clients hand in at the same time, each once.
type wave struct {
	mu       sync.Mutex
	rejected map[string]int
	// first and last are how long the first and the last answer took.
	first, last time.Duration
}

// clientsPerWave is the number of clients; a wave is a job of each.
const clientsPerWave = 40

// send hands the jobs in and waits for the answers.
func (v *wave) send(c *cluster, key string, body []byte) {
	start := time.Now()
	var group sync.WaitGroup
	for range clientsPerWave {
		group.Go(func() {
			id := newID()
			status, text := c.callAs(key, http.MethodPost, id, body)
			c.rec.printf("client: POST %s: %d %.100q", id, status, text)
			v.mu.Lock()
			defer v.mu.Unlock()
			v.last = time.Since(start)
			if v.first == 0 {
				v.first = v.last
			}
			switch status {
			case http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusServiceUnavailable:
				v.rejected[id] = status
			}
		})
	}
	group.Wait()
}

// playRefused takes five of the tenant's keys away, one after the other, while clients
// hand jobs in with them. Each time the leader is killed right before, while jobs are on
// their way. No task may start of a job of which each attempt was rejected.
func playRefused(c *cluster, trouble bool) (int, error) {
	const revokes = 5
	body, err := json.Marshal(job{Spec: "work 1000", Steps: []step{{Count: 1, CPU: 100, MemMb: 64, EstimateMs: 1000}}})
	if err != nil {
		return 0, err
	}
	rejected := map[string]int{}
	for i := range revokes {
		usual := &wave{rejected: rejected}
		usual.send(c, tenantKeys[i], body)
		c.sleep(500*time.Millisecond, "the first wave is answered")
		leader := c.leader()
		if leader == nil {
			return 0, fmt.Errorf("found no leader")
		}
		var group sync.WaitGroup
		hit := &wave{rejected: rejected}
		sent := time.Now()
		group.Go(func() { hit.send(c, tenantKeys[i], body) })
		if trouble {
			// From shortly before the first answer of the usual wave to its last.
			wait := usual.first*3/4 + (usual.last-usual.first*3/4)*time.Duration(i)/revokes
			time.Sleep(time.Until(sent.Add(wait)))
			leader.kill()
			group.Go(func() {
				time.Sleep(time.Second)
				if err := leader.start(); err != nil {
					c.rec.printf("%s: %v", leader.name, err)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		c.rec.printf("operator: takes the key %s away", tenantKeys[i])
		if err := c.configure(tenantKeys[i+1:]...); err != nil {
			return 0, err
		}
		group.Wait()
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
