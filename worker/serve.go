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
	// openCall is how long the call of a start stays open for the task's end;
	// the end of a longer task comes with a report.
	openCall = 1 * clock.Second
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
	if !decode(rw, req, &o) {
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

// start carries out an order and waits for the task's end for a while. It
// reports false if the end of the task was given out before.
func (w *Worker) start(ctx context.Context, o dispatcher.StartOrder, arrived clock.Millis) (dispatcher.StartReply, bool) {
	w.mu.Lock()
	now := w.cfg.Clock.Now()
	switch d := w.table.start(o, now-arrived, now).(type) {
	case refuse:
		w.mu.Unlock()
		w.log.WithField(logger.FieldTask, o.Task).WithField("Detail", d.reply.Detail).Info("task refused")
		return d.reply, true
	case forgotten:
		w.mu.Unlock()
		return nil, false
	case answered:
		w.mu.Unlock()
		return replyOf(d.end), true
	case run:
		w.launch(ctx, o)
	case join:
	}
	ended := w.ended[o.Task]
	w.mu.Unlock()
	return w.await(ctx, o.Task, ended), true
}

// launch starts the goroutine of a task. The caller holds the lock.
func (w *Worker) launch(ctx context.Context, o dispatcher.StartOrder) {
	// The task outlives the call that started it.
	taskCtx, cancel := context.WithCancel(trace.ContextWithSpanContext(w.tasks, trace.SpanContextFromContext(ctx)))
	w.stops[o.Task] = cancel
	w.ended[o.Task] = make(chan struct{})
	w.log.WithField(logger.FieldTask, o.Task).WithField(logger.FieldRequest, o.Request).WithField("Epoch", o.Epoch).Info("task started")
	w.running.Go(func() error {
		defer cancel()
		answer, err := w.cfg.RunTask(taskCtx, o.Data)
		done := dispatcher.Done{Answer: answer}
		if err != nil {
			done = dispatcher.Done{Answer: []byte(err.Error()), Failed: true}
		}
		w.finish(o.Task, done)
		return nil
	})
}

func (w *Worker) finish(id unit.Task, done dispatcher.Done) {
	w.mu.Lock()
	e := w.table.end(id, done, w.cfg.Clock.Now())
	close(w.ended[id])
	delete(w.ended, id)
	delete(w.stops, id)
	w.mu.Unlock()
	w.log.WithField(logger.FieldTask, id).WithField(logger.FieldRequest, e.Request).WithField("Stopped", e.Stopped).Info("task ended")
	w.reportSoon()
}

// await waits for a task's end while the call may stay open.
func (w *Worker) await(ctx context.Context, id unit.Task, ended <-chan struct{}) dispatcher.StartReply {
	limit := time.NewTimer(openCall.Duration())
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, is := w.table.ended[id]; is {
		return replyOf(e)
	}
	return dispatcher.Started{}
}

// replyOf tells the end of a task in the reply to its start. That a task was
// stopped is told by a report only.
func replyOf(e dispatcher.Ended) dispatcher.StartReply {
	if e.Stopped {
		return dispatcher.Started{}
	}
	return dispatcher.Finished{Done: e.Done}
}

func (w *Worker) handleStop(rw http.ResponseWriter, req *http.Request) {
	var o dispatcher.StopOrder
	if !decode(rw, req, &o) {
		return
	}
	w.mu.Lock()
	if w.table.stop(o) {
		w.stops[o.Task]()
	}
	w.mu.Unlock()
	_, _ = io.WriteString(rw, "{}")
}

func decode(rw http.ResponseWriter, req *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, upstream.MaxOrderBytes)).Decode(v)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
