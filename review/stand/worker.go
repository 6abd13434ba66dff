//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment.
const (
	maxHold     = 6 * time.Second
	stopTimeout = 200 * time.Millisecond
	beatEvery   = 1500 * time.Millisecond
	// endsPerAnswer is how many ends a worker lists in one answer.
	endsPerAnswer = 500
)

// worker is a sound worker: it starts whatever it is told to start, keeps the
// highest fencing token, lets everything lapse with its lease, and lists the ends
// until they are taken note of.
type worker struct {
	c       *cluster
	id      string
	zone    string
	rack    string
	address string
	born    time.Time
	server  *http.Server
	gate    *gate

	mu     sync.Mutex
	seq    int
	acked  chan struct{}
	once   sync.Once
	target string
	// state is what the heartbeats say; now requests one at once.
	state      string
	now        chan struct{}
	beats      int
	drainAcked time.Time

	token   uint64
	expiry  int64
	lapsed  int64
	runs    map[string]*taskRun
	highest map[string]int
	ended   []end
	lastEnd int
	wake    chan struct{}
	// history holds every run that this worker has started.
	history []*taskRun
}

// taskRun is a run of a task on a worker. Times are those of the worker's clock.
type taskRun struct {
	worker   *worker
	task     string
	run      int
	startAt  int64
	lasts    bool
	duration int64
	stopAt   int64
	endAt    int64
	how      string
	// noted is set once the end was taken note of, with no lapse of the lease in
	// between.
	noted bool
}

// end is a row of Ended.
type end struct {
	n   int
	run *taskRun
}

// clockMs is the worker's steady clock.
func (w *worker) clockMs() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// addWorker starts a worker.
func (c *cluster) addWorker(i int) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.network, 100+i))
	if err != nil {
		return err
	}
	w := &worker{
		c: c, id: fmt.Sprintf("i-%06x%02x", 0x7f3a91, i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-1", 1+i%len(zones)), born: time.Now(),
		acked: make(chan struct{}), runs: map[string]*taskRun{}, highest: map[string]int{}, wake: make(chan struct{}), state: "ready", now: make(chan struct{}, 1),
	}
	w.gate = newGate(c, ln)
	w.address = ln.Addr().String()
	w.server = &http.Server{Handler: w}
	c.workers = append(c.workers, w)
	c.group.Go(func() { _ = w.server.Serve(w.gate) })
	c.group.Go(w.tick)
	c.group.Go(w.beat)
	return nil
}

func (w *worker) close() { _ = w.server.Close() }

// awaitAck waits until a heartbeat was acknowledged.
func (w *worker) awaitAck(limit time.Duration) bool {
	select {
	case <-w.acked:
		return true
	case <-time.After(limit):
		return false
	}
}

// beat sends the heartbeats. While the worker is cut off, they are lost.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		w.mu.Lock()
		state, target := w.state, w.target
		w.mu.Unlock()
		body, err := w.report(state)
		if err != nil {
			return
		}
		if target == "" {
			target = w.c.cores[i%len(w.c.cores)].address(w.c.ports.control)
		}
		ok := false
		if w.gate.isCut() {
			time.Sleep(time.Second)
		} else {
			if ok = w.sendBeat(client, target, body); ok {
				w.mu.Lock()
				w.beats++
				if state == "draining" && w.drainAcked.IsZero() {
					w.drainAcked = time.Now()
					w.c.rec.printf("%s: draining is acknowledged", w.id)
				}
				w.mu.Unlock()
			}
		}
		pause := beatEvery
		if !ok {
			w.mu.Lock()
			w.target = ""
			w.mu.Unlock()
			pause = 50 * time.Millisecond
		}
		select {
		case <-w.c.done:
			return
		case <-w.now:
		case <-time.After(pause):
		}
	}
}

// report returns the body of the next heartbeat.
func (w *worker) report(state string) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return json.Marshal(map[string]any{
		"Service": service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": w.c.plan.capacity, "Labels": []string{"a", w.rack}, "ClockMs": w.clockMs(), "Seq": w.seq, "born": w.born.UnixMilli(), "Machine": "m-" + w.id,
	})
}

// setTarget sets the address of the next heartbeats.
func (w *worker) setTarget(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = address
}

// drain makes the worker report that it leaves, at once.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	select {
	case w.now <- struct{}{}:
	default:
	}
}

// awaitDrainAck returns when a heartbeat with the state draining was acknowledged.
func (w *worker) awaitDrainAck(limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		at := w.drainAcked
		w.mu.Unlock()
		if !at.IsZero() {
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("%s: draining wasn't acknowledged", w.id)
}

// awaitBeat waits until the next heartbeat was acknowledged.
func (w *worker) awaitBeat() {
	w.mu.Lock()
	before := w.beats
	w.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		now := w.beats
		w.mu.Unlock()
		if now > before {
			return
		}
	}
}

func (w *worker) sendBeat(client *http.Client, target string, body []byte) bool {
	r, err := http.NewRequest(http.MethodPut, "http://"+target+"/v1/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	var a struct{ HeartbeatAddr string }
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&a) != nil {
		return false
	}
	w.mu.Lock()
	if a.HeartbeatAddr != "" {
		w.target = a.HeartbeatAddr
	}
	w.mu.Unlock()
	w.once.Do(func() { close(w.acked) })
	return true
}

// tick ends the runs that are due.
func (w *worker) tick() {
	for {
		select {
		case <-w.c.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance lets what is due end. The caller must hold the lock.
func (w *worker) advance() {
	now := w.clockMs()
	if now > w.expiry {
		w.lapsed = now
	}
	for _, r := range w.runs {
		switch {
		case now > w.expiry:
			w.end(r, "lapsed")
		case r.stopAt > 0 && now >= r.stopAt:
			w.end(r, "stopped")
		case !r.lasts && now >= r.startAt+r.duration:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	r.how, r.endAt = how, w.clockMs()
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, r})
	w.c.rec.printf("%s: %s run %d ended %s, end %d", w.id, r.task, r.run, how, w.lastEnd)
	close(w.wake)
	w.wake = make(chan struct{})
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

// ServeHTTP serves the orders.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := w.execute(r, o)
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) execute(r *http.Request, o order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	refuse := func(reason string) (int, map[string]any) {
		w.c.rec.printf("%s: refused %s %s run %d: %s", w.id, r.URL.Path, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"ClockMs": w.clockMs(), "Reason": reason}
	}
	if o.FencingToken < w.token {
		return refuse("fence")
	}
	w.token = o.FencingToken
	switch r.URL.Path {
	case "/v1/run-start":
		w.extend(o.ExpiresMs)
		if now := w.runs[o.Task]; now != nil && now.run == o.Run {
			break
		}
		if o.Run <= w.highest[o.Task] {
			return refuse("old")
		}
		if o.ExpiresMs <= w.clockMs() {
			return refuse("late")
		}
		w.begin(o)
	case "/v1/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		w.c.rec.printf("%s: stop of %s run %d", w.id, o.Task, o.Run)
		if run := w.runs[o.Task]; run != nil && run.run <= o.Run && run.stopAt == 0 {
			run.stopAt = w.clockMs() + stopTimeout.Milliseconds()/4
		}
	case "/v1/hold":
		w.extend(o.ExpiresMs)
		w.forget(o.LastSeen)
		w.awaitEnd(r, o)
		return http.StatusOK, w.lists()
	default:
		return http.StatusNotFound, nil
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clockMs()}
}

func (w *worker) extend(expires int64) {
	if expires > 0 {
		w.expiry = max(w.expiry, min(expires, w.clockMs()+maxHold.Milliseconds()))
	}
}

// begin starts a run. The job's text says how long its tasks take.
func (w *worker) begin(o order) {
	run := &taskRun{worker: w, task: o.Task, run: o.Run, startAt: w.clockMs()}
	if ms, found := strings.CutPrefix(o.Spec, "work "); found {
		_, _ = fmt.Sscanf(ms, "%d", &run.duration)
	} else {
		run.lasts = true
	}
	w.runs[o.Task] = run
	w.history = append(w.history, run)
	w.c.rec.printf("%s: %s run %d started under token %d", w.id, o.Task, o.Run, o.FencingToken)
}

// forget drops the ends up to seen. An end is taken note of unless the lease lapsed
// since.
func (w *worker) forget(seen int) {
	left := w.ended[:0]
	for _, e := range w.ended {
		if e.n > seen {
			left = append(left, e)
			continue
		}
		e.run.noted = w.lapsed <= e.run.endAt
		w.c.rec.printf("%s: end %d of %s run %d (%s) is taken note of", w.id, e.n, e.run.task, e.run.run, e.run.how)
	}
	w.ended = left
}

// awaitEnd waits until there is an end to list. It gives up the lock meanwhile.
func (w *worker) awaitEnd(r *http.Request, o order) {
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for len(w.ended) == 0 && o.WaitMs > 0 {
		wake := w.wake
		w.mu.Unlock()
		over := false
		select {
		case <-wake:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		w.mu.Lock()
		if over {
			return
		}
	}
}

func (w *worker) lists() map[string]any {
	running := [][]any{}
	for _, r := range w.runs {
		percent := 100
		if !r.lasts {
			percent = int(min(100*(w.clockMs()-r.startAt)/max(r.duration, 1), 100))
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	ended := [][]any{}
	for _, e := range w.ended[:min(len(w.ended), endsPerAnswer)] {
		ended = append(ended, []any{e.n, e.run.task, e.run.run, e.run.how, ""})
	}
	return map[string]any{"ClockMs": w.clockMs(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
}

// runningTasks returns the tasks that are running on all workers.
func (c *cluster) runningTasks() map[string]*worker {
	m := map[string]*worker{}
	for _, w := range c.workers {
		w.mu.Lock()
		w.advance()
		for task := range w.runs {
			m[task] = w
		}
		w.mu.Unlock()
	}
	return m
}
