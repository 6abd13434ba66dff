package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chervilvane/chervilvane/unit"
)

// pathStep is a step on the path of a request from submission to answer.
type pathStep string

const (
	received       pathStep = "received"
	acceptRecorded pathStep = "acceptance recorded"
	waiting        pathStep = "queued"
	intentSent     pathStep = "placed, intent sent"
	intentRecorded pathStep = "intent recorded"
	startSent      pathStep = "start sent"
	started        pathStep = "started"
	finished       pathStep = "finished"
	answerSent     pathStep = "answer sent"
	answerReceived pathStep = "answer received"
	endSent        pathStep = "end sent"
	endRecorded    pathStep = "end recorded"
	returned       pathStep = "answered"
)

// watchedID is the id of the request whose steps trigger the fault of a cell.
const watchedID unit.Request = "account/watched"

// pathSteps holds the steps in the order of the path.
var pathSteps = []pathStep{
	received, acceptRecorded, waiting, intentSent, intentRecorded, startSent, started,
	finished, answerSent, answerReceived, endSent, endRecorded, returned,
}

// whyImpossible returns the reason why a kind of request can't reach a step; "" if
// it can.
func whyImpossible(kind requestKind, s pathStep) string {
	switch {
	case s == received && kind.isAccepted():
		return "covered by the step of recorded acceptance: before it nothing is promised, and the caller resends"
	case s == acceptRecorded && !kind.isAccepted():
		return "only accepted requests are recorded before they are queued"
	case (s == intentSent || s == intentRecorded) && kind.isRepeatable():
		return "repeatable requests start without an intent"
	case (s == endSent || s == endRecorded) && kind == repeatable:
		return "a repeatable request that a caller waits for has no record, so its outcome isn't recorded"
	}
	return ""
}

// coveredElsewhere lists the faults that the matrices of other packages cover, with
// the reason.
var coveredElsewhere = map[string]string{
	"disk lost":    "no component on this path keeps a file: the matrix of the log loses disks",
	"sync fails":   "no component on this path keeps a file: the matrix of the log fails syncs",
	"torn write":   "no component on this path keeps a file: the matrix of the log tears writes",
	"out of order": "calls are answered by id; late, lost and duplicated messages at each step give every order of two messages",
}

// faultSummary sums up the results of all cells of a fault.
type faultSummary struct {
	cells   int
	done    int
	notRun  int
	unknown int
	gap     time.Duration
}

// TestMatrix injects every fault at every step of every kind of request and checks
// the invariants of observer.
func TestMatrix(t *testing.T) {
	var mu sync.Mutex
	summaries := map[string]*faultSummary{}
	t.Run("cells", func(t *testing.T) {
		for _, f := range slices.Concat(schedulerFaults, networkFaults, upstreamFaults, callerFaults) {
			f.heal = func(sim *simulation) { sim.healAll() }
			summaries[f.name] = &faultSummary{}
			for _, c := range cells(f) {
				t.Run(c.name(), func(t *testing.T) {
					t.Parallel()
					result := c.run(t)
					if !result.reached {
						t.Error("the step wasn't reached")
					}
					for _, p := range c.problems(result) {
						t.Error(p)
					}
					mu.Lock()
					defer mu.Unlock()
					summaries[f.name].add(result)
				})
			}
		}
	})
	t.Log(report(summaries))
}

// cells returns the possible cells of a fault.
func cells(f fault) []cell {
	var out []cell
	for _, kind := range []requestKind{repeatable, notRepeatable, accepted, acceptedNotRepeatable} {
		for _, s := range pathSteps {
			if whyImpossible(kind, s) == "" {
				out = append(out, cell{kind: kind, step: s, fault: f})
			}
		}
	}
	return out
}

// report formats the summaries and lists the combinations that weren't run.
func report(summaries map[string]*faultSummary) string {
	var b strings.Builder
	total := 0
	for _, name := range sortedKeys(summaries) {
		s := summaries[name]
		total += s.cells
		fmt.Fprintf(&b, "\n%-46s %3d cells, watched request: %3d Done %3d NotRun %3d Unknown, longest gap of starts %5v", name, s.cells, s.done, s.notRun, s.unknown, s.gap.Round(10*time.Millisecond))
	}
	fmt.Fprintf(&b, "\n%d cells run", total)
	for _, kind := range []requestKind{repeatable, notRepeatable, accepted, acceptedNotRepeatable} {
		for _, s := range pathSteps {
			if reason := whyImpossible(kind, s); reason != "" {
				fmt.Fprintf(&b, "\nnot run: %s, %s, every fault: %s", kind, s, reason)
			}
		}
	}
	for _, name := range sortedKeys(coveredElsewhere) {
		fmt.Fprintf(&b, "\nnot run: every step, %s: %s", name, coveredElsewhere[name])
	}
	return b.String()
}
