//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Figures of the workers, as on the users' pages.
const (
	beatInterval = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	stopTime     = 50 * time.Millisecond
	// answerTime is how long a worker takes to answer an order.
	answerTime = 5 * time.Millisecond
	// lasting is the working time from which on a task counts as one that lasts.
	lasting   = time.Hour
	workerCPU = 32000
	workerMem = 65536
)

// task is a task that runs on a worker.
type task struct {
	name    string
	run     int
	started time.Time
	ends    time.Time
	stopAt  time.Time
}

// worker is a sound worker that guards no capacity.
type worker struct {
	record  *record
	id      string
	zone    string
	rack    string
	address string
	born    time.Time
	// workTime is how long a task takes; fails reports whether it fails by its own fault. fails may
	// be nil.
	workTime func(name string) time.Duration
	fails    func(name string) bool

	mu      sync.Mutex
	changed chan struct{}
	fence   int64
	expires time.Time
	running map[string]*task
	highest map[string]int
	ended   [][]any
	lastEnd int64
	seq     int64
	// heldAt is when the last hold arrived.
	heldAt time.Time
	// begun holds the jobs of which a task has begun.
	begun map[string]bool
	// gone is set once the worker has been lost for good.
	gone bool
}

func newWorker(rec *record, id, zone, rack string, workTime func(string) time.Duration, fails func(string) bool) *worker {
	return &worker{
		record: rec, id: id, zone: zone, rack: rack, born: time.Now(), workTime: workTime, fails: fails,
		changed: make(chan struct{}), running: map[string]*task{}, highest: map[string]int{}, begun: map[string]bool{},
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// serve answers the system's calls until ctx ends.
func (w *worker) serve(ctx context.Context, group *errgroup.Group, l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: w.checkInstance(mux)}
	group.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		for sleep(ctx, 10*time.Millisecond) == nil {
			w.mu.Lock()
			w.sweep(time.Now())
			w.mu.Unlock()
		}
		return nil
	})
}

func (w *worker) checkInstance(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// sweep ends what has ended by now. The caller must hold w.mu.
func (w *worker) sweep(now time.Time) {
	lapsed := !w.expires.IsZero() && now.After(w.expires)
	for _, t := range w.running {
		switch {
		case lapsed:
			w.end(t, "lapsed")
		case !t.stopAt.IsZero() && now.After(t.stopAt):
			w.end(t, "stopped")
		case now.After(t.ends) && w.fails != nil && w.fails(t.name):
			w.end(t, "failed")
		case now.After(t.ends):
			w.end(t, "done")
		}
	}
}

// end records the end of a task. The caller must hold w.mu.
func (w *worker) end(t *task, how string) {
	delete(w.running, t.name)
	w.highest[t.name] = max(w.highest[t.name], t.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, t.name, t.run, how, ""})
	w.record.logf("%s: %s run %d ended: %s", w.id, t.name, t.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of the system's calls.
type order struct {
	Task         string
	Run          int
	ExpiresMs    int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// accept decodes an order and checks its fence. The caller must hold w.mu afterwards.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.mu.Lock()
		w.answer(rw, http.StatusBadRequest, object{})
		return o, false
	}
	time.Sleep(answerTime)
	w.mu.Lock()
	w.sweep(time.Now())
	if o.FencingToken < w.fence {
		w.answer(rw, http.StatusConflict, object{"Reason": "fence"})
		return o, false
	}
	w.fence = o.FencingToken
	if o.ExpiresMs > 0 {
		until := w.born.Add(time.Duration(o.ExpiresMs) * time.Millisecond)
		if most := time.Now().Add(maxHold); until.After(most) {
			until = most
		}
		if until.After(w.expires) {
			w.expires = until
		}
	}
	return o, true
}

func (w *worker) answer(rw http.ResponseWriter, status int, body object) {
	body["ClockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	defer w.mu.Unlock()
	if !ok {
		return
	}
	now := time.Now()
	t := w.running[o.Task]
	switch {
	case t != nil && t.run == o.Run:
	case o.Run <= w.highest[o.Task] || t != nil && o.Run < t.run:
		w.answer(rw, http.StatusConflict, object{"Reason": "old"})
		return
	case w.clock() > o.ExpiresMs:
		w.answer(rw, http.StatusConflict, object{"Reason": "late"})
		return
	default:
		w.running[o.Task] = &task{name: o.Task, run: o.Run, started: now, ends: now.Add(w.workTime(o.Task))}
		w.begun[o.Task[:16]] = true
		w.record.logf("%s: %s run %d begins, %d run there", w.id, o.Task, o.Run, len(w.running))
	}
	w.answer(rw, http.StatusOK, object{})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	defer w.mu.Unlock()
	if !ok {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if t := w.running[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTime)
	}
	w.answer(rw, http.StatusOK, object{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.accept(rw, r)
	defer w.mu.Unlock()
	if !ok {
		return
	}
	w.heldAt = time.Now()
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	rows := [][]any{}
	for _, t := range w.running {
		percent := int(100 * time.Since(t.started) / max(t.ends.Sub(t.started), 1))
		if t.ends.Sub(t.started) >= lasting {
			// Such a task is at work after a short startup.
			percent = min(100, int(time.Since(t.started).Milliseconds()/4))
		} else {
			percent = min(percent, 99)
		}
		rows = append(rows, []any{t.name, t.run, "", percent, 0})
	}
	ended := w.ended
	if ended == nil {
		ended = [][]any{}
	}
	w.answer(rw, http.StatusOK, object{"Running": rows, "Ended": ended[:min(len(ended), 500)]})
}

// runs returns how many tasks of a job run.
func (w *worker) runs(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name := range w.running {
		if len(name) > len(job) && name[:len(job)] == job {
			n++
		}
	}
	return n
}

// hasBegun reports whether a task of a job has begun here.
func (w *worker) hasBegun(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[job]
}

// sinceHold returns how long ago the last hold arrived.
func (w *worker) sinceHold() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.heldAt)
}

// lose ends the worker: it runs nothing any more and sends nothing.
func (w *worker) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	clear(w.running)
	w.record.logf("%s is lost for good", w.id)
}

// beat reports to the control addresses in turn until ctx ends.
func (w *worker) beat(ctx context.Context, c *cluster, first int) {
	next, given := first, ""
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		seq, gone := w.seq, w.gone
		w.mu.Unlock()
		if gone {
			return
		}
		to := given
		if to == "" {
			to = address(c.cores[next%len(c.cores)].ip, c.ports.control)
		}
		status, text, err := call(ctx, http.MethodPut, "http://"+to+"/v1/instances/"+w.id, "", time.Second, object{
			"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": object{"Cpu": workerCPU, "MemMb": workerMem, "Gpu": 0}, "Labels": []string{"a", w.rack},
			"ClockMs": w.clock(), "Seq": seq, "born": w.born.UnixMilli(), "Machine": "m-" + w.id,
		})
		if status != http.StatusOK {
			w.record.logf("%s: a beat at %s failed: %d %s %v", w.id, to, status, text, err)
			given = ""
			next++
			_ = sleep(ctx, 200*time.Millisecond)
			continue
		}
		var answer struct{ HeartbeatAddr string }
		if json.Unmarshal([]byte(text), &answer) == nil && answer.HeartbeatAddr != "" {
			given = answer.HeartbeatAddr
		}
		_ = sleep(ctx, beatInterval)
	}
}

// newWorkers starts workers in each zone, each behind a proxy.
func newWorkers(ctx context.Context, group *errgroup.Group, c *cluster, perZone int, workTime func(string) time.Duration, fails func(string) bool) ([]*worker, []*proxy, error) {
	var workers []*worker
	var proxies []*proxy
	for i := range perZone * len(c.zones) {
		z := i % len(c.zones)
		w := newWorker(c.record, fmt.Sprintf("i-7f3a91c%d", i), c.zones[z], fmt.Sprintf("r%d-1", z), workTime, fails)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		p, err := newProxy(ctx, group, l.Addr().String())
		if err != nil {
			return nil, nil, err
		}
		w.address = p.address()
		w.serve(ctx, group, l)
		group.Go(func() error {
			w.beat(ctx, c, z)
			return nil
		})
		workers, proxies = append(workers, w), append(proxies, p)
	}
	return workers, proxies, nil
}
