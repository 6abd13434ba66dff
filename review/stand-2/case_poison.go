//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// Ids of the jobs of runPoison.
const (
	goodJobs = "5c0e7a21d94b36"
	poison   = "7d1f8b32ea5c47f0"
	lastJob  = "7d1f8b32ea5c47f1"
)

// Bounds of the site and of the rule.
const (
	finish   = 14 * time.Second
	idleTime = 3 * time.Second
)

// runPoison sends 20 jobs, of which one can never be done. It checks LOST: finish_s after the end of
// the traffic the last job must not have nothing running for 3 s while its tasks' turn has come and
// the workers are idle.
func runPoison(ctx context.Context, e *environment) (string, error) {
	c, err := newCluster(e.record)
	if err != nil {
		return "", err
	}
	defer c.stop()
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = group.Wait() }()
	defer cancel()
	workers, _, err := newWorkers(ctx, group, c, 1, func(name string) time.Duration {
		switch {
		case strings.HasPrefix(name, poison):
			return 3400 * time.Millisecond
		case strings.HasPrefix(name, lastJob):
			return 5 * time.Second
		}
		return 640 * time.Millisecond
	}, func(name string) bool { return e.trouble && strings.HasPrefix(name, poison) })
	if err != nil {
		return "", err
	}
	if err := c.putConfig(ctx, 7); err != nil {
		return "", err
	}
	if err := sleep(ctx, 5*time.Second); err != nil {
		return "", err
	}
	for i := range 18 {
		if err := c.submit(ctx, fmt.Sprintf("%s%02x", goodJobs, i), object{"Spec": "thumbnail", "Steps": []object{{"Count": 2, "Cpu": 2800, "MemMb": 1000, "EstimateMs": 640}}}); err != nil {
			return "", err
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return "", err
		}
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return "", err
	}
	// The job that can't be done is as wide as the site's widest of its kind.
	if err := c.submit(ctx, poison, object{"Spec": "lettering", "Steps": []object{{"Count": 60, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 3400}}}); err != nil {
		return "", err
	}
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return "", err
	}
	if err := c.submit(ctx, lastJob, object{"Spec": "proof", "Steps": []object{{"Count": 6, "Cpu": 9000, "MemMb": 1000, "EstimateMs": 5000}}}); err != nil {
		return "", err
	}
	end := time.Now()
	e.record.logf("end of the traffic")
	return watchIdle(ctx, e, c, workers, lastJob, end)
}

// watchIdle returns how LOST is broken for a job after the end of the traffic; empty once the job is
// completed.
func watchIdle(ctx context.Context, e *environment, c *cluster, workers []*worker, job string, end time.Time) (string, error) {
	var idleSince time.Time
	for time.Since(end) < 60*time.Second {
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return "", err
		}
		all := countRuns(workers, "")
		if countRuns(workers, job) > 0 {
			idleSince = time.Time{}
			continue
		}
		if c.state(ctx, c.fronts[1], job) == "completed" {
			e.record.logf("job %s is completed", job)
			return "", nil
		}
		if all > 0 {
			// Others use the capacity.
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
			e.record.logf("job %s has nothing running, and no worker runs anything", job)
		}
		judged := time.Since(end) - finish
		if judged > idleTime && time.Since(idleSince) > idleTime {
			return fmt.Sprintf("LOST: %.1f s after the end of the traffic job %s has had nothing running for %.1f s, with all workers idle",
				time.Since(end).Seconds(), job, time.Since(idleSince).Seconds()), nil
		}
	}
	return "", fmt.Errorf("job %s was not completed", job)
}
