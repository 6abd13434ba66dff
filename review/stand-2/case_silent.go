//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Ids of the jobs of runSilent.
const (
	warmJobs  = "5c0e7a21d94b36"
	warmCount = 3
	cancelled = "7c0e7a21d94b36f9"
)

// Bounds of the site.
const (
	contact     = 3 * time.Second
	cancelBound = 3 * time.Second
	stopBound   = 200 * time.Millisecond
)

// runSilent has the open connections to all workers go silent once. After ContactMs and half
// a second it cancels a job. It checks UNASKED: the job's task must not run on StopTimeoutMs after
// cancel_ms after the acknowledgement.
func runSilent(ctx context.Context, e *environment) (string, error) {
	c, err := newCluster(e.record)
	if err != nil {
		return "", err
	}
	defer c.stop()
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = group.Wait() }()
	defer cancel()
	workers, proxies, err := newWorkers(ctx, group, c, 1, func(name string) time.Duration {
		if strings.HasPrefix(name, cancelled) {
			return 40 * time.Second
		}
		return 1500 * time.Millisecond
	}, nil)
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, 7); err != nil {
		return "", err
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return "", err
	}
	// Jobs as wide as the site's widest, of 60 tasks of 2 cores, one after the other: each worker starts
	// some at once.
	for i := range warmCount {
		id := fmt.Sprintf("%s%02x", warmJobs, i)
		if err := c.submit(ctx, id, object{"Spec": "warm", "Steps": []object{{"Count": 60, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 1500}}}); err != nil {
			return "", err
		}
		for c.state(ctx, c.fronts[0], id) != "completed" {
			if err := sleep(ctx, 300*time.Millisecond); err != nil {
				return "", err
			}
		}
		e.record.logf("job %s is completed", id)
	}
	if err := c.submit(ctx, cancelled, object{"Spec": "cancelled", "Steps": []object{{"Count": 1, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 40000}}}); err != nil {
		return "", err
	}
	if err := sleep(ctx, time.Second); err != nil {
		return "", err
	}
	if countRuns(workers, cancelled) != 1 {
		return "", errors.New("the task of the second job doesn't run")
	}
	if e.trouble {
		for i, p := range proxies {
			e.record.logf("%d connections to %s go silent", p.silence(), workers[i].id)
		}
	}
	if err := sleep(ctx, contact+500*time.Millisecond); err != nil {
		return "", err
	}
	if countRuns(workers, cancelled) != 1 {
		return "", errors.New("the task of the second job has ended by itself")
	}
	if err := c.cancel(ctx, cancelled); err != nil {
		return "", err
	}
	acknowledged := time.Now()
	broken := ""
	for time.Since(acknowledged) < 15*time.Second {
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return "", err
		}
		after := time.Since(acknowledged)
		if countRuns(workers, cancelled) == 0 {
			e.record.logf("the task is gone %.2f s after the acknowledgement of the cancel", after.Seconds())
			return broken, nil
		}
		if broken == "" && after > cancelBound+stopBound {
			broken = fmt.Sprintf("UNASKED: the task of job %s still runs %.2f s after the cancel was acknowledged", cancelled, after.Seconds())
			e.record.logf("%s", broken)
		}
	}
	return broken, nil
}

func countRuns(workers []*worker, job string) int {
	n := 0
	for _, w := range workers {
		n += w.runs(job)
	}
	return n
}
