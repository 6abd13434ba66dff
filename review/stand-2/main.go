//go:build review

// Command stand-2 runs the script cases of the second review: it starts the project's own
// program as separate processes on loopback addresses, with stand-ins for clients, workers, the
// operator and the platform.
//
//	stand-2 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. With
// TROUBLE=0 it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseTimeout ends a case that takes too long.
	caseTimeout = 110 * time.Second
)

// scenario is a case. It returns what broke the rule; empty if the rule held.
type scenario func(ctx context.Context, e *environment) (broken string, err error)

var scenarios = map[string]scenario{
	"silent":  runSilent,
	"poison":  runPoison,
	"begun":   runBegun,
	"lasting": runLasting,
}

// environment is what a case gets.
type environment struct {
	record  *record
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	e := &environment{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, disruption: %v", os.Args[1], e.trouble)
	broken, err := scenarios[os.Args[1]](ctx, e)
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return exitFailed
	case broken != "":
		rec.logf("BROKEN: %s", broken)
		return exitBroken
	}
	rec.logf("the rule held")
	return exitHeld
}
