//go:build review

// Command stand plays the cases of the review that are scripts. It starts the
// daemons of a small deployment as separate processes with the command of the
// deploy file, and takes the part of everything around them: the platform, the
// operator, the clients and the workers. Everything talks over loopback addresses.
//
// Usage: stand CASE FOLDER, where FOLDER gets record.txt. The exit status is 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scenario plays a case on a cluster that has a configuration and workers. It
// returns how often the rule was broken.
type scenario func(c *cluster, trouble bool) (int, error)

// plan is a case: the deployment that it needs and what is played on it.
type plan struct {
	workers  int
	capacity resources
	run      scenario
}

var plans = map[string]plan{
	"cancel":  {workers: 6, capacity: resources{CPU: 16000, MemMb: 32768}, run: playCancel},
	"ends":    {workers: 6, capacity: resources{CPU: 16000, MemMb: 32768}, run: playEnds},
	"refused": {workers: 6, capacity: resources{CPU: 16000, MemMb: 32768}, run: playRefused},
	"drain":   {workers: 6, capacity: resources{CPU: 16000, MemMb: 32768}, run: playDrain},
	"batch":   {workers: 6, capacity: resources{CPU: 16000, MemMb: 32768}, run: playBatch},
}

// Exit statuses.
const (
	held     = 0
	broken   = 1
	cantPlay = 2
)

func main() {
	if len(os.Args) != 3 || plans[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(cantPlay)
	}
	os.Exit(play(plans[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

func play(p plan, folder string, trouble bool) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantPlay
	}
	defer rec.close()
	rec.printf("case played with trouble=%t", trouble)
	c, err := newCluster(rec, p)
	if err != nil {
		rec.printf("can't play: %v", err)
		return cantPlay
	}
	defer c.close()
	limit := time.AfterFunc(timeLimit, func() {
		rec.printf("can't play: the time limit is over")
		c.killAll()
		os.Exit(cantPlay)
	})
	defer limit.Stop()
	if err := c.setUp(); err != nil {
		rec.printf("can't play: %v", err)
		return cantPlay
	}
	breaks, err := p.run(c, trouble)
	switch {
	case err != nil:
		rec.printf("can't play: %v", err)
		return cantPlay
	case breaks > 0:
		rec.printf("RESULT: the rule was broken %d times", breaks)
		return broken
	}
	rec.printf("RESULT: the rule held")
	return held
}
