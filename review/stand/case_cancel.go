//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playCancel cancels a quarter of many long-running jobs and kills the leader of the
// core meanwhile. Each cancel is repeated until it is acknowledged. Once nothing has
// been disturbed for long enough, no task of a cancelled job may be running.
func playCancel(c *cluster, trouble bool) (int, error) {
	const (
		jobs      = 320
		cancels   = jobs / 4
		killAfter = cancels / 3
	)
	ids := make([]string, jobs)
	err := inParallel(16, jobs, func(i int) error {
		id, err := c.submit(job{Spec: "lasts", Steps: []step{{Count: 1, CPU: 200, MemMb: 256, EstimateMs: 400, LongRunning: true}}}, 10*time.Second)
		ids[i] = id
		return err
	})
	if err != nil {
		return 0, err
	}
	if err := c.awaitRunning(jobs, 15*time.Second); err != nil {
		return 0, err
	}
	c.sleep(2*time.Second, "all jobs run")

	leader := c.leader()
	if leader == nil {
		return 0, fmt.Errorf("found no leader")
	}
	var acked atomic.Int32
	var disturbance sync.WaitGroup
	var once sync.Once
	kill := func() {
		disturbance.Go(func() {
			leader.kill()
			time.Sleep(time.Second)
			if err := leader.start(); err != nil {
				c.rec.printf("%s: %v", leader.name, err)
			}
		})
	}
	err = inParallel(20, cancels, func(i int) error {
		status := c.callUntil(http.MethodDelete, ids[i], nil, 20*time.Second)
		if acked.Add(1) >= killAfter && trouble {
			once.Do(kill)
		}
		if status != http.StatusOK && status != http.StatusGone {
			return fmt.Errorf("the cancel of %s wasn't acknowledged: status %d", ids[i], status)
		}
		return nil
	})
	disturbance.Wait()
	if err != nil {
		return 0, err
	}
	// ContactMs and CatchUpS after the restart, then cancel_ms and StopTimeoutMs, and a
	// second of slack.
	c.sleep(3*time.Second+4*time.Second+3*time.Second+stopTimeout+time.Second, "all cancels are acknowledged; nothing is disturbed from now on")
	breaks := 0
	for i, id := range ids {
		w := c.runningTasks()[id+".0.0.0"]
		switch {
		case i < cancels && w != nil:
			c.rec.printf("BROKEN: %s.0.0.0 of the cancelled job runs on %s", id, w.id)
			breaks++
		case i >= cancels && w == nil:
			c.rec.printf("note: %s.0.0.0 of a job that wasn't cancelled doesn't run", id)
		}
	}
	return breaks, nil
}

// awaitRunning waits until so many tasks run.
func (c *cluster) awaitRunning(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(c.runningTasks()) >= n {
			return nil
		}
	}
	return fmt.Errorf("%d of %d tasks run", len(c.runningTasks()), n)
}

// inParallel calls f for 0 to n-1 on so many goroutines and returns an error of one
// of the calls.
func inParallel(goroutines, n int, f func(i int) error) error {
	var group sync.WaitGroup
	var next atomic.Int32
	var mu sync.Mutex
	var failed error
	for range goroutines {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				if err := f(i); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failed
}
