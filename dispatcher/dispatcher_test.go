package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	epoch      unit.Epoch    = 1
	request    unit.Request  = "r"
	upstreamID unit.Upstream = "u"
)

// newWithPlacedTask returns a dispatcher that holds the zone's lease, and the
// task of a request that is placed on an upstream with its intent granted.
func newWithPlacedTask(t *testing.T, repeatable bool) (*dispatcher.Dispatcher, unit.Task) {
	t.Helper()
	tasks := 0
	d := dispatcher.New(dispatcher.Config{
		TaskLease: 1000, ReportTimeout: clock.Minute, OutcomeRetention: clock.Hour, MaxRetainedOutcomes: 100, MaxAttempts: 3,
		NewTask: func() unit.Task { tasks++; return unit.Task(fmt.Sprint(tasks)) },
	})
	d.Activate(0, epoch, dispatcher.PriorUpstreams{Complete: true})
	d.HandleReport(1, dispatcher.Report{Upstream: upstreamID, Incarnation: "1", Sequence: 1, Address: "u:1", Epoch: epoch})
	d.ConfirmUpstream(upstreamID)
	d.Submit(2, dispatcher.Request{ID: request, Repeatable: repeatable, Fresh: true, Timeout: clock.Hour}, 1, nil)
	queued := enqueuedTasks(d.Effects())
	if len(queued) != 1 {
		t.Fatalf("got %d queued tasks, want 1", len(queued))
	}
	d.HandlePlacement(3, queued[0], upstreamID)
	for _, e := range d.Effects() {
		if i, ok := e.(dispatcher.CommitIntent); ok {
			d.HandleIntentResult(4, i.Attempt, dispatcher.Granted{})
		}
	}
	d.Effects()
	return d, queued[0]
}

// enqueuedTasks returns the tasks of the Enqueue effects.
func enqueuedTasks(effects []dispatcher.Effect) []unit.Task {
	var tasks []unit.Task
	for _, e := range effects {
		if q, ok := e.(dispatcher.Enqueue); ok {
			tasks = append(tasks, q.Task)
		}
	}
	return tasks
}

// notifiesNotRun reports whether an effect tells callers that the request hasn't
// run.
func notifiesNotRun(effects []dispatcher.Effect) bool {
	for _, e := range effects {
		if n, ok := e.(dispatcher.NotifyCallers); ok {
			if _, notRun := n.Outcome.(dispatcher.NotRun); notRun {
				return true
			}
		}
	}
	return false
}

// TestNoStartOrderIsSentAfterTheZoneLease checks that PrepareStart refuses a
// start order that was delayed until the zone's lease was lost, and that its
// request ends as NotRun.
func TestNoStartOrderIsSentAfterTheZoneLease(t *testing.T) {
	for name, c := range map[string]struct {
		holds bool
		epoch unit.Epoch
		sent  bool
	}{
		"the zone is held":               {holds: true, epoch: epoch, sent: true},
		"the lease has expired":          {holds: false, epoch: epoch},
		"the order is of an older epoch": {holds: true, epoch: epoch - 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, task := newWithPlacedTask(t, false)
			_, _, sent := d.PrepareStart(5, task, c.epoch, c.holds)
			is.Equal(sent, c.sent)
			is.Equal(notifiesNotRun(d.Effects()), !c.sent)
		})
	}
}

// TestNonRepeatableRequestIsNotStartedAgain loses the reply to a start order
// until the task's lease has expired: only a repeatable request is enqueued
// again.
func TestNonRepeatableRequestIsNotStartedAgain(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, task := newWithPlacedTask(t, repeatable)
			_, _, sent := d.PrepareStart(5, task, epoch, true)
			is.True(sent)
			d.HandleStartUnknown(6, task)
			d.Tick(10 * clock.Second) // every lease has expired
			d.Tick(20 * clock.Second)
			is.Equal(len(enqueuedTasks(d.Effects())) > 0, repeatable)
			o, _ := d.Outcome(request)
			_, unknown := o.(dispatcher.Unknown)
			is.Equal(unknown, !repeatable)
		})
	}
}
