//go:build review

// Command stand-3 plays one case of the review: it starts the daemons of a small deployment
// as processes on loopback addresses, with stand-ins for workers, clients and the operator.
//
//	stand-3 CASE FOLDER DAEMON
//
// It writes what was sent, answered and run to FOLDER/record.txt and exits with 1 if the
// rule of the case was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0
// in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 110 * time.Second
)

// stage is what a case plays on.
type stage struct {
	ctx     context.Context
	group   *errgroup.Group
	record  *record
	trouble bool
	cluster *cluster
	// folder holds the settings and the disks of the daemons.
	folder string
}

// cases are the scripted cases by name. Each returns an exit status.
var cases = map[string]func(*stage) (int, error){
	"unheard-goodbye": unheardGoodbye,
	"other-writer":    otherWritersEntry,
	"foreign-queue":   foreignQueue,
	"taken-names":     takenNames,
	"replace-wipe":    replaceThenWipe,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER DAEMON")
		return couldNot
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		r.add("can't run: %v", err)
		return couldNot
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	group, ctx := errgroup.WithContext(ctx)
	s := &stage{ctx: ctx, group: group, record: r, trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	if s.cluster, err = newCluster(s, os.Args[3]); err != nil {
		cancel()
		r.add("can't run: %v", err)
		return couldNot
	}
	status, err := cases[os.Args[1]](s)
	if err != nil {
		r.add("can't run: %v", err)
		status = couldNot
	}
	s.cluster.close()
	cancel()
	_ = group.Wait()
	r.add("exit status %d (disruption: %t)", status, s.trouble)
	return status
}

// sleep waits for a duration. It returns false if the case ends before.
func (s *stage) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// await polls a condition until it holds or the limit has passed.
func (s *stage) await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if ok() {
			return true
		}
		if !s.sleep(20 * time.Millisecond) {
			return false
		}
	}
	return ok()
}
