package worker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/upstream"
)

const (
	readHeaderTimeout = 5 * clock.Second
	// startReplyTimeout is how long the reply to a start order waits for the
	// task's end. The end of a task that runs longer is listed in a report.
	startReplyTimeout = 1 * clock.Second
)

func (w *Worker) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(upstream.StartPath, w.handleStart).Methods(http.MethodPost)
	r.HandleFunc(upstream.StopPath, w.handleStop).Methods(http.MethodPost)
	return r
}

func (w *Worker) handleStart(rw http.ResponseWriter, req *http.Request) {
	arrived := w.cfg.Clock.Now()
	var o dispatcher.StartOrder
	if !decodeOrder(rw, req, &o) {
		return
	}
	ctx, span := tracer.StartChild(tracer.ExtractHTTP(req.Context(), req.Header), w.cfg.Tracer, "upstream run", trace.WithSpanKind(trace.SpanKindServer))
	reply, ok := w.start(ctx, o, arrived)
	span.End()
	if !ok {
		http.Error(rw, "the task ran here and its end was reported", http.StatusConflict)
		return
	}
	data, err := upstream.EncodeStartReply(reply)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(data)
}

// start executes a start order and waits up to startReplyTimeout for the task's
// end. It returns false if a scheduler has already acknowledged the task's end,
// so that its result is no longer known.
func (w *Worker) start(ctx context.Context, o dispatcher.StartOrder, arrived clock.Millis) (dispatcher.StartReply, bool) {
	w.mu.Lock()
	now := w.cfg.Clock.Now()
	switch d := w.table.start(o, now-arrived, now).(type) {
	case refuse:
		w.mu.Unlock()
		w.log.WithField(logger.FieldTask, o.Task).WithField("Detail", d.reply.Detail).Info("task refused")
		return d.reply, true
	case endAcknowledged:
		w.mu.Unlock()
		return nil, false
	case alreadyEnded:
		w.mu.Unlock()
		return startReply(d.end), true
	case run:
		w.startTask(ctx, o)
	case join:
	}
	ended := w.endSignals[o.Task]
	w.mu.Unlock()
	return w.awaitEnd(ctx, o.Task, ended), true
}

// startTask runs a task in a new goroutine. The caller must hold w.mu.
func (w *Worker) startTask(ctx context.Context, o dispatcher.StartOrder) {
	// The task must not end with the HTTP request that started it, so its
	// context takes only the trace from ctx.
	taskCtx, cancel := context.WithCancel(trace.ContextWithSpanContext(w.tasksCtx, trace.SpanContextFromContext(ctx)))
	w.cancelTask[o.Task] = cancel
	w.endSignals[o.Task] = make(chan struct{})
	w.log.WithField(logger.FieldTask, o.Task).WithField(logger.FieldRequest, o.Request).WithField("Epoch", o.Epoch).Info("task started")
	w.taskGroup.Go(func() error {
		defer cancel()
		answer, err := w.cfg.RunTask(taskCtx, o.Data)
		done := dispatcher.Done{Answer: answer}
		if err != nil {
			done = dispatcher.Done{Answer: []byte(err.Error()), Failed: true}
		}
		w.finishTask(o.Task, done)
		return nil
	})
}

func (w *Worker) finishTask(id unit.Task, done dispatcher.Done) {
	w.mu.Lock()
	e := w.table.endTask(id, done, w.cfg.Clock.Now())
	close(w.endSignals[id])
	delete(w.endSignals, id)
	delete(w.cancelTask, id)
	w.mu.Unlock()
	w.log.WithField(logger.FieldTask, id).WithField(logger.FieldRequest, e.Request).WithField("Stopped", e.Stopped).Info("task ended")
	w.requestReport()
}

// awaitEnd waits for a task's end, for startReplyTimeout or until ctx ends. It
// returns the reply to the task's start order.
func (w *Worker) awaitEnd(ctx context.Context, id unit.Task, ended <-chan struct{}) dispatcher.StartReply {
	limit := time.NewTimer(startReplyTimeout.Duration())
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.table.ended[id]; ok {
		return startReply(e)
	}
	return dispatcher.Started{}
}

// startReply returns the reply to the start order of a task that has ended. A
// stopped task gets the reply Started, since only a report can say that a task
// was stopped.
func startReply(e dispatcher.Ended) dispatcher.StartReply {
	if e.Stopped {
		return dispatcher.Started{}
	}
	return dispatcher.Finished{Done: e.Done}
}

func (w *Worker) handleStop(rw http.ResponseWriter, req *http.Request) {
	var o dispatcher.StopOrder
	if !decodeOrder(rw, req, &o) {
		return
	}
	w.mu.Lock()
	if w.table.markStopped(o) {
		w.cancelTask[o.Task]()
	}
	w.mu.Unlock()
	_, _ = io.WriteString(rw, "{}")
}

func decodeOrder(rw http.ResponseWriter, req *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, upstream.MaxOrderBytes)).Decode(v)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
