//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold      = 10 * time.Second
	drainTime    = 2 * time.Second
	stopTime     = 100 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	// ackTime is the time within which a heartbeat or a deregistration must be acknowledged.
	ackTime = time.Second
)

// span is the time of one run on a worker that is up.
type span struct {
	task   string
	run    int
	worker string
	from   time.Time
	// until is zero while the run goes on.
	until time.Time
	how   string
}

// spans are all runs of a case.
type spans struct {
	mu   sync.Mutex
	list []*span
}

func (l *spans) add(s *span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

// end ends a run.
func (l *spans) end(s *span, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.until, s.how = time.Now(), how
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it.
type worker struct {
	stage   *stage
	spans   *spans
	link    *link
	id      string
	zone    string
	address string
	born    time.Time
	server  *http.Server
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	seq     int
	state   string
	beatTo  string
	fence   uint64
	lease   time.Time
	runs    map[string]*liveRun
	highest map[string]int
	ended   [][]any
	lastEnd int
	wake    chan struct{}
}

// liveRun is a run on a worker.
type liveRun struct {
	span   *span
	run    int
	took   time.Duration
	stopAt time.Time
}

// newWorker starts a worker, which reports to the core daemon of its zone first.
func newWorker(s *stage, l *spans, id, zone string) (*worker, error) {
	w := &worker{
		stage: s, spans: l, link: newLink(), id: id, zone: zone, born: time.Now(), state: "ready",
		runs: map[string]*liveRun{}, highest: map[string]int{}, wake: make(chan struct{}, 1),
	}
	w.ctx, w.cancel = context.WithCancel(s.ctx)
	ln, err := net.Listen("tcp", s.cluster.network+".200:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	w.client = &http.Client{Transport: &http.Transport{DialContext: w.link.dial, MaxIdleConnsPerHost: 4}}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	s.group.Go(func() error {
		_ = w.server.Serve(&linkListener{ln, w.link, w.ctx})
		return nil
	})
	s.group.Go(func() error {
		<-w.ctx.Done()
		return w.server.Close()
	})
	s.group.Go(func() error {
		for w.ctx.Err() == nil {
			w.beat()
			w.pause(beatInterval)
		}
		return nil
	})
	s.group.Go(func() error {
		for w.ctx.Err() == nil {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
			w.pause(5 * time.Millisecond)
		}
		return nil
	})
	return w, nil
}

func (w *worker) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.ctx.Done():
	}
}

// clockMs is the reading of the worker's steady clock.
func (w *worker) clockMs() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// leave ends the worker's process, and with it everything that runs on it.
func (w *worker) leave() {
	w.mu.Lock()
	for name, r := range w.runs {
		w.stage.record.add("worker %s ends: run %d of %s ends with it", w.id, r.run, name)
		w.spans.end(r.span, "worker ended")
	}
	w.runs = map[string]*liveRun{}
	w.mu.Unlock()
	w.stage.record.add("worker %s has ended", w.id)
	w.cancel()
}

// endRun ends a run and lists its end. The caller must hold w.mu.
func (w *worker) endRun(name, how string) {
	r := w.runs[name]
	delete(w.runs, name)
	w.highest[name] = max(w.highest[name], r.run)
	w.spans.end(r.span, how)
	w.stage.record.add("worker %s: run %d of %s has ended: %s", w.id, r.run, name, how)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, name, r.run, how, ""})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// advance ends what is due. The caller must hold w.mu.
func (w *worker) advance() {
	now := time.Now()
	for name, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.endRun(name, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.endRun(name, "stopped")
		case now.Sub(r.span.from) >= r.took:
			w.endRun(name, "done")
		}
	}
}

// order is the body of an order.
type order struct {
	Task         string
	Run          int
	Spec         string
	ExpiresMs    int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/hold" {
		w.awaitEnd(r.Context(), o)
	}
	w.mu.Lock()
	status, answer := w.execute(r.URL.Path, o)
	w.mu.Unlock()
	data, err := json.Marshal(answer)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// awaitEnd lets a hold wait for an end.
func (w *worker) awaitEnd(ctx context.Context, o order) {
	timeout := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timeout.Stop()
	for o.WaitMs > 0 {
		w.mu.Lock()
		news := w.lastEnd > o.LastSeen
		// The lease is extended when the call arrives.
		if o.FencingToken >= w.fence {
			w.extend(o.ExpiresMs)
		}
		w.mu.Unlock()
		if news {
			return
		}
		select {
		case <-w.wake:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// extend extends the lease to a time on the worker's clock. The caller must hold w.mu.
func (w *worker) extend(expiresMs int64) {
	until := min(time.Duration(expiresMs-w.clockMs())*time.Millisecond, maxHold)
	if t := time.Now().Add(until); t.After(w.lease) {
		w.lease = t
	}
}

// execute executes an order. The caller must hold w.mu.
func (w *worker) execute(path string, o order) (int, map[string]any) {
	w.advance()
	answer := map[string]any{"ClockMs": w.clockMs()}
	refuse := func(reason string) (int, map[string]any) {
		w.stage.record.add("worker %s refuses %s of run %d of %s: %s", w.id, path, o.Run, o.Task, reason)
		answer["Reason"] = reason
		return http.StatusConflict, answer
	}
	if o.FencingToken < w.fence {
		return refuse("fence")
	}
	w.fence = o.FencingToken
	switch path {
	case "/v1/run-start":
		if r := w.runs[o.Task]; r != nil && r.run == o.Run {
			return http.StatusOK, answer
		}
		w.extend(o.ExpiresMs)
		if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
			return refuse("old")
		}
		if o.ExpiresMs <= w.clockMs() {
			return refuse("late")
		}
		w.start(o)
	case "/v1/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	case "/v1/hold":
		w.extend(o.ExpiresMs)
		w.list(o.LastSeen, answer)
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// start starts a run. The specification names its time: "ms=9000". The caller must hold w.mu.
func (w *worker) start(o order) {
	ms, err := strconv.Atoi(strings.TrimPrefix(o.Spec, "ms="))
	if err != nil {
		w.stage.record.add("worker %s: a start with the specification %q", w.id, o.Spec)
		ms = 1000
	}
	sp := &span{task: o.Task, run: o.Run, worker: w.id, from: time.Now()}
	w.spans.add(sp)
	w.runs[o.Task] = &liveRun{span: sp, run: o.Run, took: time.Duration(ms) * time.Millisecond}
	w.stage.record.add("worker %s begins run %d of %s", w.id, o.Run, o.Task)
}

// list adds the lists of a hold to its answer. The caller must hold w.mu.
func (w *worker) list(seen int, answer map[string]any) {
	left := [][]any{}
	for _, e := range w.ended {
		if n, ok := e[0].(int); ok && n > seen {
			left = append(left, e)
		}
	}
	w.ended = left
	running := [][]any{}
	for name, r := range w.runs {
		percent := min(int(100*time.Since(r.span.from)/max(r.took, 1)), 100)
		running = append(running, []any{name, r.run, "", percent, 1000})
	}
	answer["Running"], answer["Ended"], answer["born"] = running, left, w.born.UnixMilli()
}

// beat sends a heartbeat, to the next daemon after a failure. It reports whether one has
// acknowledged it.
func (w *worker) beat() bool {
	w.mu.Lock()
	w.seq++
	body := map[string]any{
		"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": w.state, "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": 32000, "MemMb": 65536, "Gpu": 0}, "Labels": []string{"a", "r-" + w.zone},
		"ClockMs": w.clockMs(), "Seq": w.seq, "born": w.born.UnixMilli(), "Machine": "m-" + w.id,
	}
	if w.state == "draining" {
		body["RemainingMs"] = drainTime.Milliseconds()
	}
	w.mu.Unlock()
	return w.callDaemons(http.MethodPut, body)
}

// callDaemons sends a call of the worker to one daemon after the other until one has
// acknowledged it.
func (w *worker) callDaemons(method string, body any) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	w.mu.Lock()
	targets := []string{}
	if w.beatTo != "" {
		targets = append(targets, w.beatTo)
	}
	w.mu.Unlock()
	for _, d := range w.stage.cluster.cores {
		if d.zone == w.zone {
			targets = append(targets, d.address(portControl))
		}
	}
	for _, d := range w.stage.cluster.cores {
		if d.zone != w.zone {
			targets = append(targets, d.address(portControl))
		}
	}
	for _, to := range targets {
		if w.ctx.Err() != nil {
			return false
		}
		if w.callDaemon(method, to, data) {
			return true
		}
	}
	return false
}

func (w *worker) callDaemon(method, to string, data []byte) bool {
	ctx, cancel := context.WithTimeout(w.ctx, ackTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/instances/%s", to, w.id), bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := w.client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var a struct{ HeartbeatAddr string }
	_ = json.NewDecoder(answer.Body).Decode(&a)
	if answer.StatusCode/100 != 2 {
		return false
	}
	w.mu.Lock()
	w.beatTo = a.HeartbeatAddr
	w.mu.Unlock()
	return true
}

// has reports how many runs the worker has.
func (w *worker) has() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
