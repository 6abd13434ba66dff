package scheduler

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

const reportInterval = 300 * time.Millisecond

// startCallTimeout is how long the answer to a start order is delayed to wait for
// the task's end.
const startCallTimeout = 500 * time.Millisecond

// fakeUpstream runs each task for the number of milliseconds in its data. It obeys
// the rules for orders: epochs, incarnations, expiry and leases.
type fakeUpstream struct {
	sim  *simulation
	id   unit.Upstream
	zone unit.AvailabilityZone

	frozen atomic.Bool

	mu          sync.Mutex
	incarnation int
	sequence    uint64
	// sentAt is the time of each report of this incarnation, by sequence number.
	sentAt   map[uint64]clock.Millis
	epoch    unit.Epoch
	capacity unit.Resources
	running  map[unit.Task]*fakeRun
	ended    map[unit.Task]dispatcher.Ended
	// received holds the tasks whose start order was received.
	received  map[unit.Task]bool
	departing bool
	dead      bool
	// duplicateNext delivers the next start order of the watched request twice,
	// and nextOrderDelay delays it.
	duplicateNext  bool
	nextOrderDelay time.Duration
}

// fakeRun is one run of a task on a fakeUpstream.
type fakeRun struct {
	order dispatcher.StartOrder
	// leaseUntil is when the lease expires, in milliseconds of trueTime.
	leaseUntil atomic.Int64
	stop       chan struct{}
	done       chan struct{}
	obs        *observedRun
}

// addUpstream starts an upstream.
func (sim *simulation) addUpstream(id unit.Upstream, zone unit.AvailabilityZone, offered unit.Resources) *fakeUpstream {
	u := &fakeUpstream{sim: sim, id: id, zone: zone, capacity: offered}
	u.reset()
	sim.upstreams[id] = u
	sim.group.Go(u.run)
	return u
}

// reset starts a new incarnation without tasks.
func (u *fakeUpstream) reset() {
	u.incarnation++
	u.sequence = 0
	u.epoch = 0
	u.sentAt = map[uint64]clock.Millis{}
	u.running = map[unit.Task]*fakeRun{}
	u.ended = map[unit.Task]dispatcher.Ended{}
	u.received = map[unit.Task]bool{}
}

func (u *fakeUpstream) isDead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead
}

// awaitThaw waits while the upstream is frozen.
func (u *fakeUpstream) awaitThaw() {
	for u.frozen.Load() && u.sim.ctx.Err() == nil {
		time.Sleep(clockStep)
	}
}

// kill ends the process and all its tasks.
func (u *fakeUpstream) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead = true
	for _, r := range u.running {
		u.sim.obs.recordEnd(r.obs)
	}
}

func (u *fakeUpstream) restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dead = false
	u.reset()
}

// depart makes the upstream report that it is departing.
func (u *fakeUpstream) depart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.departing = true
	u.sim.obs.recordDeparture(u.id)
}

func (u *fakeUpstream) setCapacity(offered unit.Resources) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.capacity = offered
}

// consumeDuplicate returns how often a start order is delivered, and clears
// duplicateNext if it applies.
func (u *fakeUpstream) consumeDuplicate(r unit.Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.duplicateNext && r == u.sim.watched {
		u.duplicateNext = false
		return 2
	}
	return 1
}

// consumeDelay returns the delay of a start order, and clears nextOrderDelay if it
// applies.
func (u *fakeUpstream) consumeDelay(r unit.Request) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r != u.sim.watched {
		return 0
	}
	d := u.nextOrderDelay
	u.nextOrderDelay = 0
	return d
}

// run sends reports periodically and stops the tasks whose lease has expired.
func (u *fakeUpstream) run() error {
	next := time.Now()
	for u.sim.ctx.Err() == nil {
		time.Sleep(clockStep)
		u.awaitThaw()
		u.stopExpired()
		if !u.isDead() && !time.Now().Before(next) {
			next = time.Now().Add(reportInterval)
			u.sim.group.Go(func() error {
				u.report()
				return nil
			})
		}
	}
	return nil
}

// stopExpired stops the tasks whose lease has expired.
func (u *fakeUpstream) stopExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.running {
		if int64(u.sim.trueTime()) >= r.leaseUntil.Load() {
			r.requestStop()
		}
	}
}

// requestStop makes execute end the run. It may be called more than once.
func (r *fakeRun) requestStop() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
}

// report sends one report through an instance of the zone and applies the reply.
func (u *fakeUpstream) report() {
	r, sentAt := u.nextReport()
	reply, ok := u.sim.forwardReport(u, r)
	if !ok {
		return
	}
	u.awaitThaw()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead || string(r.Incarnation) != strconv.Itoa(u.incarnation) || reply.Epoch < u.epoch {
		return
	}
	newEpoch := reply.Epoch > u.epoch
	u.epoch = reply.Epoch
	stop := map[unit.Task]bool{}
	for _, o := range reply.Stop {
		stop[o.Task] = true
		if run := u.running[o.Task]; run != nil {
			run.requestStop()
		}
	}
	for _, s := range r.Running {
		if run := u.running[s.Task]; run != nil && !stop[s.Task] && int64(u.sim.trueTime()) < run.leaseUntil.Load() {
			run.leaseUntil.Store(max(run.leaseUntil.Load(), int64(sentAt+reply.Lease)))
		}
	}
	for _, id := range reply.Forget {
		delete(u.ended, id)
	}
	if newEpoch {
		// The next report shows the new scheduler at once that the upstream has
		// accepted its epoch.
		u.sim.group.Go(func() error {
			u.report()
			return nil
		})
	}
}

// nextReport returns the next report and the time at which it is sent.
func (u *fakeUpstream) nextReport() (dispatcher.Report, clock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	now := u.sim.trueTime()
	u.sentAt[u.sequence] = now
	r := dispatcher.Report{
		Upstream: u.id, Incarnation: unit.Incarnation(strconv.Itoa(u.incarnation)), Sequence: u.sequence,
		AvailabilityZone: u.zone, Rack: unit.Rack(u.id), Address: string(u.id), Holds: u.capacity,
		Departing: u.departing, Epoch: u.epoch,
	}
	for id, run := range u.running {
		r.Running = append(r.Running, dispatcher.Running{
			Task: id, Request: run.order.Request, Team: run.order.Team, Epoch: run.order.Epoch, Need: run.order.Need, Usage: run.order.Need,
		})
	}
	for _, e := range u.ended {
		r.Ended = append(r.Ended, e)
	}
	return r, now
}

// start executes a start order. It returns nil if no answer is sent.
func (u *fakeUpstream) start(o dispatcher.StartOrder) dispatcher.StartReply {
	u.awaitThaw()
	u.sim.obs.recordOrder(u, o)
	u.mu.Lock()
	if u.dead {
		u.mu.Unlock()
		return nil
	}
	if run := u.running[o.Task]; run != nil {
		u.mu.Unlock()
		return u.awaitEnd(o, run)
	}
	if e, ok := u.ended[o.Task]; ok {
		u.mu.Unlock()
		return replyForEnd(e)
	}
	if reason := u.refusal(o); reason != "" {
		defer u.mu.Unlock()
		u.received[o.Task] = true
		return dispatcher.Refused{Detail: reason, Epoch: u.epoch}
	}
	u.received[o.Task] = true
	u.epoch = o.Epoch
	run := &fakeRun{order: o, stop: make(chan struct{}), done: make(chan struct{})}
	run.leaseUntil.Store(int64(u.sim.trueTime() + o.Lease))
	run.obs = u.sim.obs.recordStart(u, run)
	u.running[o.Task] = run
	u.mu.Unlock()
	u.sim.reachStep(started, o.Request)
	u.sim.group.Go(func() error {
		u.execute(run)
		return nil
	})
	return u.awaitEnd(o, run)
}

// refusal returns why the upstream refuses a start order; "" if it accepts it.
func (u *fakeUpstream) refusal(o dispatcher.StartOrder) string {
	sentAt, known := u.sentAt[o.Sequence]
	switch {
	case u.sim.defect.acceptsLateOrders:
		return ""
	case u.received[o.Task]:
		return "the task was here before"
	case o.Epoch < u.epoch:
		return "older epoch"
	case string(o.Incarnation) != strconv.Itoa(u.incarnation):
		return "another incarnation"
	case !known || u.sim.trueTime() > sentAt+o.Expiry:
		return "the order is too old"
	case u.departing:
		return "departing"
	}
	return ""
}

// execute runs a task until its run time has passed or it is stopped.
func (u *fakeUpstream) execute(run *fakeRun) {
	millis, err := strconv.Atoi(string(run.order.Data))
	if err != nil {
		panic(err)
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	e := dispatcher.Ended{Task: run.order.Task, Request: run.order.Request, Team: run.order.Team}
	select {
	case <-timer.C:
		e.Done = dispatcher.Done{Answer: answerOf(run.order.Request)}
	case <-run.stop:
		e.Stopped = true
	case <-u.sim.ctx.Done():
		return
	}
	if u.frozen.Load() {
		u.awaitThaw()
		if int64(u.sim.trueTime()) >= run.leaseUntil.Load() {
			e = dispatcher.Ended{Task: e.Task, Request: e.Request, Team: e.Team, Stopped: true}
		}
	}
	u.sim.reachStep(finished, run.order.Request)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running[run.order.Task] == run {
		u.sim.obs.recordEnd(run.obs)
		delete(u.running, run.order.Task)
		u.ended[run.order.Task] = e
	}
	close(run.done)
}

// awaitEnd waits up to startCallTimeout for a task's end and returns the answer to
// its start order; nil if no answer is sent.
func (u *fakeUpstream) awaitEnd(o dispatcher.StartOrder, run *fakeRun) dispatcher.StartReply {
	ctx, cancel := context.WithTimeout(u.sim.ctx, startCallTimeout)
	defer cancel()
	select {
	case <-run.done:
	case <-ctx.Done():
	}
	u.awaitThaw()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dead {
		return nil
	}
	if e, ok := u.ended[o.Task]; ok {
		return replyForEnd(e)
	}
	return dispatcher.Started{}
}

// replyForEnd returns the answer to the start order of a task that has ended.
func replyForEnd(e dispatcher.Ended) dispatcher.StartReply {
	if e.Stopped {
		return dispatcher.Started{}
	}
	return dispatcher.Finished{Done: e.Done}
}

// stop executes a stop order.
func (u *fakeUpstream) stop(o dispatcher.StopOrder) {
	u.awaitThaw()
	u.mu.Lock()
	defer u.mu.Unlock()
	if run := u.running[o.Task]; run != nil {
		run.requestStop()
	}
}

// answerOf returns the answer that an upstream gives to a request.
func answerOf(r unit.Request) []byte { return []byte("answer to " + string(r)) }
