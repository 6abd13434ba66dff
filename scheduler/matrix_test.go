package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/dispatcher"
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

func TestOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, flaw{})
		defer w.close()
		w.addUpstream("ua1", "a", unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte, Slots: 4, Connections: 4})
		w.awaitHolder("a")
		time.Sleep(time.Second)
		o := w.call([]unit.Instance{"a1"}, "a", dispatcher.Request{ID: watchedID, Queue: "holds", Team: "booking", Fresh: true, Data: []byte("30")}, 5*time.Second)
		is.Equal(o, dispatcher.Done{Answer: answerOf(watchedID)})
		is.Equal(w.obs.found(), nil)
	})
}

// steps are the rows of each kind of work.
var steps = map[workKind][]pathStep{
	repeatable:   {received, waiting, startSent, started, finished, answerSent, answerReceived, returned},
	once:         {received, waiting, intentSent, intentRecorded, startSent, started, finished, answerSent, answerReceived, endSent, endRecorded, returned},
	accepted:     {acceptRecorded, waiting, startSent, started, finished, answerSent, answerReceived, endSent, endRecorded, returned},
	acceptedOnce: {acceptRecorded, waiting, intentSent, intentRecorded, startSent, started, finished, answerSent, answerReceived, endSent, endRecorded, returned},
}

func TestMatrix(t *testing.T) {
	for _, faults := range [][]fault{onSchedulers, onNetwork, onUpstreams, onCallers} {
		for _, f := range faults {
			f.heal = func(w *world) { w.reviveAll() }
			for kind, rows := range steps {
				for _, row := range rows {
					c := cell{kind: kind, step: row, fault: f}
					t.Run(c.name(), func(t *testing.T) {
						t.Parallel()
						v := c.run(t)
						if !v.reached {
							t.Error("the step wasn't reached")
						}
						for _, p := range c.problems(v) {
							t.Error(p)
						}
					})
				}
			}
		}
	}
}
