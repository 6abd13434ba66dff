//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// otherWritersEntry has another writer put an entry of a service that no configuration names,
// under an id of its own, with the address of a worker. It names no worker to use, so the
// worker and its runs must hold.
func otherWritersEntry(s *stage) (int, error) {
	if err := s.putConfig(configuration(1)); err != nil {
		return couldNot, err
	}
	runs := &spans{}
	var workers []*worker
	for i := range 8 {
		w, err := newWorker(s, runs, fmt.Sprintf("i-%d", i), zoneNames[i%len(zoneNames)])
		if err != nil {
			return couldNot, err
		}
		workers = append(workers, w)
	}
	s.sleep(4 * time.Second)
	const job = "5c0e7a21d94b36f8"
	if err := s.submit(job, map[string]any{
		"Spec":  "ms=14000",
		"Steps": []any{map[string]any{"Count": 8, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 14000, "AntiAffinity": 2}},
	}); err != nil {
		return couldNot, err
	}
	var victim *worker
	if !s.await(10*time.Second, func() bool {
		total := 0
		for _, w := range workers {
			total += w.has()
			if w.has() > 0 {
				victim = w
			}
		}
		return total == 8
	}) {
		return couldNot, errors.New("the tasks did not start")
	}
	s.sleep(3 * time.Second)
	if s.trouble {
		core := s.cluster.cores[0]
		status, text := s.call(http.MethodPut, core.address(portControl), "", "/v1/instances/x-metrics-1", "", map[string]any{
			"Service": "metrics", "Address": victim.address, "Zone": victim.zone, "Version": "v1", "Slots": 1, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int{"Cpu": 1000, "MemMb": 512, "Gpu": 0}, "Labels": []string{"a", "r-" + victim.zone},
			"ClockMs": 5000, "Seq": 1, "born": time.Now().UnixMilli(),
		})
		s.record.add("another writer: entry x-metrics-1 of the service metrics at %s, the address of worker %s: %d %s", victim.address, victim.id, status, text)
	}
	if !s.await(45*time.Second, func() bool { return s.jobState(job) == "completed" }) {
		return couldNot, fmt.Errorf("the job is %q at the end", s.jobState(job))
	}
	s.record.add("client: job %s is shown as completed", job)
	return s.checkOverlaps(runs), nil
}
