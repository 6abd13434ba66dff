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
