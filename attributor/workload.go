// Package attributor decides whether failures of tasks are the fault of the upstreams on which
// they ran or of their workload.
//
// A workload that succeeds elsewhere fails because of the upstream; one that fails on every
// upstream is itself at fault. Without the distinction, one workload that can't succeed takes
// all upstreams on which it fails out of use.
package attributor

import "github.com/chervilvane/chervilvane/unit"

// maxSuspectUpstreams is on how many upstreams a workload that has never succeeded may fail
// before its failures are blamed on the workload.
const maxSuspectUpstreams = 3

// Workload holds the results of a workload's tasks. The zero value has none.
type Workload struct {
	succeeded bool
	// failures counts the failures on each upstream since the last success.
	failures map[unit.Upstream]int
}

// RecordSuccess records that a task has succeeded.
func (w *Workload) RecordSuccess() {
	w.succeeded = true
	clear(w.failures)
}

// RecordFailure records that a task has failed on an upstream, one of the given number, and
// reports whether the failure is blamed on the upstream. A workload that has succeeded before
// is trusted until it is at fault. A failure of any other workload is blamed only on the first
// maxSuspectUpstreams upstreams, once each.
func (w *Workload) RecordFailure(id unit.Upstream, upstreams int) bool {
	if w.failures == nil {
		w.failures = map[unit.Upstream]int{}
	}
	w.failures[id]++
	if w.IsAtFault(upstreams) {
		return false
	}
	return w.succeeded || w.failures[id] == 1
}

// IsAtFault reports whether the workload has failed on too many upstreams since its last
// success for these to be at fault: on more than maxSuspectUpstreams and, if it has ever
// succeeded, also on more than half of them.
func (w *Workload) IsAtFault(upstreams int) bool {
	most := maxSuspectUpstreams
	if w.succeeded {
		most = max(most, upstreams/2)
	}
	return len(w.failures) > most
}

// Failures returns the number of failures on an upstream since the last success.
func (w *Workload) Failures(id unit.Upstream) int { return w.failures[id] }
