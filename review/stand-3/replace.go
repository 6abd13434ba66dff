//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// catchUpTime is CatchUpS: how long a machine counts as lost after it has started.
	catchUpTime = 4 * time.Second
	// replaceGap is the time from the start of the new machine to the SIGTERM of the old one.
	replaceGap = 2 * time.Second
	// shortGap is that time for the second machine that is replaced.
	shortGap = time.Second
	// recoveryTime is RecoveryS: how long after the machines are back requests may fail.
	recoveryTime = 12 * time.Second
	// wipedTime is how long the machine that loses its disk is down.
	wipedTime = time.Second
)

// replaceThenWipe has the operator replace a core machine as planned: the new one starts first,
// then the old one is terminated for good. Once the new one has had its time to catch up, the
// old one doesn't count as a loss any more, so the system must bear the loss of another disk.
// TROUBLE=0 leaves out both; TROUBLE=replace and TROUBLE=wipe do just one of them, and
// TROUBLE=rolling replaces a second machine in place of the lost disk.
func replaceThenWipe(s *stage) (int, error) {
	trouble := os.Getenv("TROUBLE")
	replaces, rolls := s.trouble && trouble != "wipe", trouble == "rolling"
	wipes := s.trouble && trouble != "replace" && !rolls
	if err := s.putConfig(configuration(1)); err != nil {
		return couldNot, err
	}
	runs := &spans{}
	for i := range 8 {
		if _, err := newWorker(s, runs, fmt.Sprintf("i-%d", i), zoneNames[i%len(zoneNames)]); err != nil {
			return couldNot, err
		}
	}
	s.sleep(6 * time.Second)
	const job = "5c0e7a21d94b36f8"
	if err := s.submit(job, map[string]any{
		"Spec": "ms=1000", "Steps": []any{map[string]any{"Count": 4, "Cpu": 4000, "MemMb": 1024, "EstimateMs": 1000}},
	}); err != nil {
		return couldNot, err
	}
	if !s.await(10*time.Second, func() bool { return s.jobState(job) == "completed" }) {
		return couldNot, errors.New("the first job has not ended")
	}
	s.record.add("client: job %s is shown as completed", job)
	old, other := s.cluster.cores[2], s.cluster.cores[1]
	started := time.Now()
	if replaces {
		if err := s.replaceCore(old, replaceGap); err != nil {
			return couldNot, err
		}
	}
	if rolls {
		s.sleep(time.Until(started.Add(catchUpTime)))
		if err := s.replaceCore(other, shortGap); err != nil {
			return couldNot, err
		}
		s.sleep(recoveryTime)
		return s.checkKept(job, 1), nil
	}
	s.sleep(time.Until(started.Add(catchUpTime + 500*time.Millisecond)))
	if err := s.putConfigAt(other, configuration(4)); err != nil {
		return couldNot, err
	}
	if wipes {
		other.kill()
		if err := other.wipe(); err != nil {
			return couldNot, err
		}
		s.record.add("core machine %s loses its disk, %d ms after the new machine has started", other.name, time.Since(started).Milliseconds())
		s.sleep(wipedTime)
		if err := other.start(false); err != nil {
			return couldNot, err
		}
		s.record.add("core machine %s is back at its address, with an empty disk", other.name)
	}
	s.sleep(recoveryTime)
	return s.checkKept(job, 4), nil
}

// replaceCore has a new core machine start, and the old one removed after a time.
func (s *stage) replaceCore(old *daemon, gap time.Duration) error {
	added, err := s.cluster.addCore(old.zone)
	if err != nil {
		return err
	}
	s.record.add("core machine %s starts at a new address, with an empty disk", added.name)
	s.sleep(gap)
	s.record.add("core machine %s gets SIGTERM and is removed for good", old.name)
	old.terminate()
	s.record.add("core machine %s has ended", old.name)
	return nil
}

// putConfigAt has a configuration accepted by one core daemon.
func (s *stage) putConfigAt(d *daemon, config map[string]any) error {
	status, text := s.call(http.MethodPut, d.address(portControl), "", "/v1/config", "", config)
	if status != http.StatusOK {
		return fmt.Errorf("%s doesn't acknowledge configuration %v: %d %s", d.name, config["Version"], status, text)
	}
	s.record.add("operator: configuration %v acknowledged by %s", config["Version"], d.name)
	return nil
}

// checkKept checks that what was acknowledged is still there, RecoveryS after all machines
// were back: the configuration can be read and the job is known. It asks for 20 s.
func (s *stage) checkKept(job string, version int) int {
	var config, state bool
	var last string
	s.await(20*time.Second, func() bool {
		for _, d := range s.cluster.cores {
			if d.command == nil || config {
				continue
			}
			status, text := s.call(http.MethodGet, d.address(portControl), "", "/v1/config", "", nil)
			config = status == http.StatusOK
			last = fmt.Sprintf("%s: %d %.120s", d.name, status, text)
		}
		state = state || s.jobState(job) == "completed"
		return config && state
	})
	s.record.add("operator: the last answer to GET /v1/config: %s", last)
	status := held
	if !config {
		s.record.add("LOST: configuration %d was acknowledged, and can't be read any more", version)
		status = broken
	}
	if !state {
		s.record.add("LOST: job %s was accepted and completed, and no answer comes about it", job)
		status = broken
	}
	return status
}
