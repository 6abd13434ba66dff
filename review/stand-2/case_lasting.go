//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

const lastingJob = "9e04d7b2618fac35"

// Bounds of LOST for a task that lasts.
const (
	lastingGrace = 6 * time.Second
	lastingIdle  = 3 * time.Second
)

// runLasting loses one worker of eight for good, on which a task that lasts is at work. It checks
// LOST: from 6 s after its last run the task must not be without a run for 3 s. Nothing else happens,
// so that these 3 s and the 4 s before them are calm.
func runLasting(ctx context.Context, e *environment) (string, error) {
	c, err := newCluster(e.record)
	if err != nil {
		return "", err
	}
	defer c.stop()
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = group.Wait() }()
	defer cancel()
	workers, proxies, err := newWorkers(ctx, group, c, 2, func(string) time.Duration { return 2 * lasting }, nil)
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, 7); err != nil {
		return "", err
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return "", err
	}
	if err := c.submit(ctx, lastingJob, object{"Spec": "watch", "Steps": []object{{"Count": 1, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 400, "LongRunning": true}}}); err != nil {
		return "", err
	}
	if err := sleep(ctx, 6*time.Second); err != nil {
		return "", err
	}
	at := -1
	for i, w := range workers {
		if w.runs(lastingJob) > 0 {
			at = i
		}
	}
	if at < 0 {
		return "", errors.New("the task that lasts doesn't run")
	}
	if e.trouble {
		// Holds come each 2 s. The time until the task runs again counts from the last one before the
		// loss, so the loss follows one.
		for workers[at].sinceHold() > 200*time.Millisecond {
			if err := sleep(ctx, 20*time.Millisecond); err != nil {
				return "", err
			}
		}
		proxies[at].goDark()
		workers[at].lose()
	}
	lostAt := time.Now()
	broken := ""
	for time.Since(lostAt) < 25*time.Second {
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return "", err
		}
		after := time.Since(lostAt)
		if countRuns(workers, lastingJob) > 0 {
			if after > time.Second {
				e.record.logf("the task runs, %.2f s after the loss; state: %s", after.Seconds(), c.state(ctx, c.fronts[1], lastingJob))
				return broken, nil
			}
			continue
		}
		if broken == "" && after > lastingGrace+lastingIdle {
			broken = fmt.Sprintf("LOST: the task of job %s has had no run for %.2f s, with seven idle workers", lastingJob, after.Seconds())
			e.record.logf("%s", broken)
		}
	}
	return broken, nil
}
