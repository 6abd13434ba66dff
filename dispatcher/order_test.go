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
	epoch   unit.Epoch    = 1
	request unit.Request  = "r"
	on      unit.Upstream = "u"
)

// placed returns a dispatcher that holds its zone, with a request placed on an
// upstream and its intent granted, and the request's task.
func placed(t *testing.T, repeatable bool) (*dispatcher.Dispatcher, unit.Task) {
	t.Helper()
	tasks := 0
	d := dispatcher.New(dispatcher.Config{
		TaskLease: 1000, ReportTimeout: clock.Minute, OutcomeRetention: clock.Hour, MaxRetainedOutcomes: 100, MaxAttempts: 3,
		NewTask: func() unit.Task { tasks++; return unit.Task(fmt.Sprint(tasks)) },
	})
	d.Activate(0, epoch, dispatcher.PriorUpstreams{Known: true})
	d.HandleReport(1, dispatcher.Report{Upstream: on, Incarnation: "1", Sequence: 1, Address: "u:1", Epoch: epoch})
	d.ConfirmUpstream(on)
	d.Submit(2, dispatcher.Request{ID: request, Repeatable: repeatable, Fresh: true, Timeout: clock.Hour}, 1, nil)
	queued := queuedIn(d.Effects())
	if len(queued) != 1 {
		t.Fatalf("%d tasks are queued", len(queued))
	}
	d.HandlePlacement(3, queued[0], on)
	for _, e := range d.Effects() {
		if i, ok := e.(dispatcher.CommitIntent); ok {
			d.HandleIntentResult(4, i.Attempt, dispatcher.Granted{})
		}
	}
	d.Effects()
	return d, queued[0]
}

// queuedIn returns the tasks that were put in the queue.
func queuedIn(list []dispatcher.Effect) []unit.Task {
	var tasks []unit.Task
	for _, e := range list {
		if q, ok := e.(dispatcher.Enqueue); ok {
			tasks = append(tasks, q.Task)
		}
	}
	return tasks
}

// saysNotRun reports whether the request's callers are told that it hasn't run.
func saysNotRun(list []dispatcher.Effect) bool {
	for _, e := range list {
		if a, ok := e.(dispatcher.NotifyCallers); ok {
			if _, notRun := a.Outcome.(dispatcher.NotRun); notRun {
				return true
			}
		}
	}
	return false
}

// TestNoOrderLeavesAfterTheLease checks the last look at the lease: an order that
// waited until the zone was lost isn't sent, and its request has surely not run.
func TestNoOrderLeavesAfterTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		holds bool
		epoch unit.Epoch
		sent  bool
	}{
		"the zone is held":               {holds: true, epoch: epoch, sent: true},
		"the lease has lapsed":           {holds: false, epoch: epoch},
		"the order is of an older epoch": {holds: true, epoch: epoch - 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, task := placed(t, false)
			_, _, sent := d.PrepareStart(5, task, c.epoch, c.holds)
			is.Equal(sent, c.sent)
			is.Equal(saysNotRun(d.Effects()), !c.sent)
		})
	}
}

// TestWorkThatIsNotRepeatableIsNotStartedAgain loses an upstream that was asked:
// only repeatable work goes back to the queue.
func TestWorkThatIsNotRepeatableIsNotStartedAgain(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, task := placed(t, repeatable)
			_, _, sent := d.PrepareStart(5, task, epoch, true)
			is.True(sent)
			d.HandleStartUnknown(6, task)
			d.Tick(10 * clock.Second) // every lease has surely ended
			d.Tick(20 * clock.Second)
			is.Equal(len(queuedIn(d.Effects())) > 0, repeatable)
			o, _ := d.Outcome(request)
			_, unknown := o.(dispatcher.Unknown)
			is.Equal(unknown, !repeatable)
		})
	}
}
