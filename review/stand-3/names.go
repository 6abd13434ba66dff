//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running while there is capacity for it.
	idleTime = 3 * time.Second
)

// takenNames has another writer, such as an agent on the workers' machines, send heartbeats:
// under the ids of the workers, but of a service that no configuration names and with an address
// of its own. They name no worker to use, so the workers must hold, and a job that comes then
// must run.
func takenNames(s *stage) (int, error) {
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
	if s.trouble {
		for i, w := range workers {
			s.group.Go(func() error {
				s.sendOtherEntries(w, s.cluster.cores[i%len(s.cluster.cores)])
				return nil
			})
		}
	}
	s.sleep(3 * time.Second)
	const job = "5c0e7a21d94b36f8"
	if err := s.submit(job, map[string]any{
		"Spec":  "ms=2000",
		"Steps": []any{map[string]any{"Count": 4, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 2000}},
	}); err != nil {
		return couldNot, err
	}
	if s.await(finishTime+idleTime, func() bool { return s.jobState(job) == "completed" }) {
		s.record.add("client: job %s is shown as completed", job)
		return held, nil
	}
	for _, w := range workers {
		s.record.add("worker %s: %d runs, last heartbeat acknowledged: %t", w.id, w.has(), w.beat())
	}
	if len(runs.list) > 0 {
		return couldNot, fmt.Errorf("the job has begun, but is %q", s.jobState(job))
	}
	s.record.add("LOST: job %s is %q %s after it was accepted; nothing of it has run, and all workers are idle", job, s.jobState(job), finishTime+idleTime)
	return broken, nil
}

// sendOtherEntries sends the heartbeats of another writer under the id of a worker.
func (s *stage) sendOtherEntries(w *worker, to *daemon) {
	born := time.Now()
	for seq := 1; s.ctx.Err() == nil; seq++ {
		status, _ := s.call(http.MethodPut, to.address(portControl), "", "/v1/instances/"+w.id, "", map[string]any{
			"Service": "metrics", "Address": s.cluster.network + ".201:9100", "Zone": w.zone, "Version": "v1", "Slots": 1,
			"State": "ready", "ColdLeftMs": 0, "Capacity": map[string]int{"Cpu": 1000, "MemMb": 512, "Gpu": 0},
			"Labels": []string{"a", "r-" + w.zone}, "ClockMs": 1000 + time.Since(born).Milliseconds(), "Seq": seq, "born": born.UnixMilli(),
		})
		s.record.add("another writer: entry %s of the service metrics, Seq %d: %d", w.id, seq, status)
		if !s.sleep(beatInterval) {
			return
		}
	}
}
