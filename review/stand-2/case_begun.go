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

// Ids of the jobs of runBegun. The waiting jobs add two digits.
const (
	firstJob    = "3b9d40c17ae25f00"
	waitingJobs = "3b9d40c17ae25f"
)

const (
	waitingCount = 8
	// begunBound is visible_ms and 2 s.
	begunBound = 5 * time.Second
)

// runBegun loses one worker of eight for good and submits jobs in the same moment. It checks MIXED:
// Pending must not be under half of the jobs that were accepted over visible_ms + 2 s before and
// haven't begun.
func runBegun(ctx context.Context, e *environment) (string, error) {
	c, err := newCluster(e.record)
	if err != nil {
		return "", err
	}
	defer c.stop()
	group := &errgroup.Group{}
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = group.Wait() }()
	defer cancel()
	workers, proxies, err := newWorkers(ctx, group, c, 2, func(name string) time.Duration {
		if strings.HasPrefix(name, firstJob) {
			return 60 * time.Second
		}
		return 640 * time.Millisecond
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
	job := object{"Spec": "thumbnail", "Steps": []object{{"Count": 1, "Cpu": 2800, "MemMb": 1000, "EstimateMs": 640}}}
	if err := c.submit(ctx, firstJob, job); err != nil {
		return "", err
	}
	if err := sleep(ctx, 1500*time.Millisecond); err != nil {
		return "", err
	}
	lost := -1
	for i, w := range workers {
		if w.runs(firstJob) > 0 {
			lost = i
		}
	}
	if lost < 0 {
		return "", errors.New("the first job doesn't run")
	}
	if e.trouble {
		proxies[lost].goDark()
		workers[lost].lose()
	}
	for i := range waitingCount {
		if err := c.submit(ctx, fmt.Sprintf("%s%02x", waitingJobs, i+1), job); err != nil {
			return "", err
		}
	}
	acceptedAt := time.Now()
	for time.Since(acceptedAt) < 20*time.Second {
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return "", err
		}
		asked := time.Since(acceptedAt)
		notBegunBefore := countNotBegun(workers)
		if notBegunBefore == 0 {
			return "", nil
		}
		if asked <= begunBound {
			continue
		}
		pending, err := c.pending(ctx, c.fronts[1])
		if err != nil {
			return "", err
		}
		// Jobs that began while the call was under way don't count.
		if notBegun := countNotBegun(workers); 2*pending < notBegun {
			return fmt.Sprintf("MIXED: %d jobs are said to wait; %d that were accepted over %.1f s before have not begun", pending, notBegun, asked.Seconds()), nil
		}
	}
	return "", nil
}

// countNotBegun returns how many of the waiting jobs no worker has begun.
func countNotBegun(workers []*worker) int {
	n := 0
	for i := range waitingCount {
		begun := false
		for _, w := range workers {
			begun = begun || w.hasBegun(fmt.Sprintf("%s%02x", waitingJobs, i+1))
		}
		if !begun {
			n++
		}
	}
	return n
}
