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

// pathStep is a step of the path of a request or of an accepted job.
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

const watchedID unit.Request = "account/watched"

// rows are the steps in the order of the path.
var pathSteps = []pathStep{
	received, acceptRecorded, waiting, intentSent, intentRecorded, startSent, started,
	finished, answerSent, answerReceived, endSent, endRecorded, returned,
}

// impossible tells why a step can't happen for a kind of work; "" if it can.
func whyImpossible(kind requestKind, s pathStep) string {
	switch {
	case s == received && kind.isAccepted():
		return "the row of recorded acceptance stands for it: before that nothing was promised, and the caller sends again"
	case s == acceptRecorded && !kind.isAccepted():
		return "only accepted work is recorded before it is queued"
	case (s == intentSent || s == intentRecorded) && kind.isRepeatable():
		return "repeatable work starts without an intent"
	case (s == endSent || s == endRecorded) && kind == repeatable:
		return "repeatable work that a caller waits for has no record, so its end isn't recorded"
	}
	return ""
}

// elsewhere lists the faults of the paths that other packages' matrices hold.
var coveredElsewhere = map[string]string{
	"disk lost":    "no part of this path keeps a file: the log's matrix loses disks under it",
	"sync fails":   "no part of this path keeps a file: the log's matrix fails syncs",
	"torn write":   "no part of this path keeps a file: the log's matrix tears writes",
	"out of order": "calls are answered by id; late, lost and doubled messages at each step give every order of two",
}

// column counts what the matrix saw of a fault.
type faultSummary struct {
	cells   int
	done    int
	notRun  int
	unknown int
	gap     time.Duration
}

func TestMatrix(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]*faultSummary{}
	t.Run("cells", func(t *testing.T) {
		for _, f := range slices.Concat(schedulerFaults, networkFaults, upstreamFaults, callerFaults) {
			f.heal = func(sim *simulation) { sim.healAll() }
			seen[f.name] = &faultSummary{}
			for _, c := range cells(f) {
				t.Run(c.name(), func(t *testing.T) {
					t.Parallel()
					v := c.run(t)
					if !v.reached {
						t.Error("the step wasn't reached")
					}
					for _, p := range c.problems(v) {
						t.Error(p)
					}
					mu.Lock()
					defer mu.Unlock()
					seen[f.name].add(v)
				})
			}
		}
	})
	t.Log(report(seen))
}

// cells returns the cells of a column that can happen.
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

func report(seen map[string]*faultSummary) string {
	var b strings.Builder
	total := 0
	for _, name := range sortedKeys(seen) {
		s := seen[name]
		total += s.cells
		fmt.Fprintf(&b, "\n%-46s %3d cells, watched request: %3d Done %3d NotRun %3d Unknown, longest gap of starts %5v", name, s.cells, s.done, s.notRun, s.unknown, s.gap.Round(10*time.Millisecond))
	}
	fmt.Fprintf(&b, "\n%d cells run", total)
	for _, kind := range []requestKind{repeatable, notRepeatable, accepted, acceptedNotRepeatable} {
		for _, s := range pathSteps {
			if why := whyImpossible(kind, s); why != "" {
				fmt.Fprintf(&b, "\nnot run: %s, %s, every fault: %s", kind, s, why)
			}
		}
	}
	for _, name := range sortedKeys(coveredElsewhere) {
		fmt.Fprintf(&b, "\nnot run: every step, %s: %s", name, coveredElsewhere[name])
	}
	return b.String()
}
