//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// openPrefix is the prefix of a queue that needs no key; no job is ever submitted to it.
	openPrefix = "/hiq3yq7z/"
	foreignJob = "5c0e7a21d94b36f8"
)

// withOpenQueue returns a configuration that has, beside the tenant's queue, one that needs
// no key.
func withOpenQueue(version int) map[string]any {
	c := configuration(version)
	c["Routes"] = append(c["Routes"].([]any), map[string]any{
		"Name": "r-cd7w4ip", "Host": queueHost, "PathPrefix": openPrefix, "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 1000,
		"Priority": 0, "Service": serviceName, "MaxAttempts": 2, "Stretch": 2.0, "Public": true,
	})
	return c
}

// foreignQueue has the operator add a public queue while a tenant's job runs in another one.
// Callers without a key then ask the new queue for an id, and cancel it there. Nobody has
// submitted a job with this id to that queue, so both calls must be answered with 410, and the
// tenant's job must go on.
func foreignQueue(s *stage) (int, error) {
	if err := s.putConfig(configuration(1)); err != nil {
		return couldNot, err
	}
	runs := &spans{}
	for i := range 4 {
		if _, err := newWorker(s, runs, fmt.Sprintf("i-%d", i), zoneNames[i]); err != nil {
			return couldNot, err
		}
	}
	s.sleep(3 * time.Second)
	if err := s.submit(foreignJob, map[string]any{
		"Spec":  "ms=8000",
		"Steps": []any{map[string]any{"Count": 4, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 8000}},
	}); err != nil {
		return couldNot, err
	}
	if !s.await(10*time.Second, func() bool { return s.jobState(foreignJob) == "running" }) {
		return couldNot, errors.New("the job did not start")
	}
	if s.trouble {
		if err := s.putConfig(withOpenQueue(4)); err != nil {
			return couldNot, err
		}
	}
	s.sleep(3 * time.Second)
	front := s.cluster.fronts[0].address(portFront)
	status, text := s.call(http.MethodGet, front, queueHost, openPrefix+foreignJob, "", nil)
	s.record.add("caller without a key: GET %s%s: %d %s", openPrefix, foreignJob, status, strings.TrimSpace(text))
	result := held
	if status == http.StatusOK {
		s.record.add("MIXED: a job that nobody submitted to the queue %s is shown", openPrefix)
		result = broken
	}
	status, text = s.call(http.MethodDelete, front, queueHost, openPrefix+foreignJob, "", nil)
	s.record.add("caller without a key: DELETE %s%s: %d %s", openPrefix, foreignJob, status, strings.TrimSpace(text))
	state := ""
	s.await(25*time.Second, func() bool {
		state = s.jobState(foreignJob)
		return state == "completed" || state == "cancelled"
	})
	s.record.add("tenant: the state of its job is %q", state)
	if state == "cancelled" {
		s.record.add("LOST: the tenant's job is shown as cancelled, and no one has cancelled it in its queue")
		result = broken
	}
	return result, nil
}
