package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/queuer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of what one event may do.
const (
	// maxDecisions bounds the decisions of the queue for one event.
	maxDecisions = 256
	// maxRounds bounds how often the queue is asked again for one event.
	maxRounds = 16
)

// core ties the dispatcher to the queue. It is a state machine: it reads the
// registered state and the time that it is given, and returns the effects that
// leave the process.
type core struct {
	az      unit.AvailabilityZone
	state   *registrar.Registrar
	newTask func() unit.Task
	d       *dispatcher.Dispatcher
	q       *queuer.Queuer
	// config is the configuration that the queue was told.
	config  parser.Config
	version unit.Version
	// works are the specs of the text's work.
	works map[parser.WorkloadKey]spec
	text  textWork
	// waiting counts the queued tasks of each queue; tasks holds theirs.
	waiting map[unit.Queue]int
	tasks   map[unit.Task]unit.Queue
	// changed says that the queue may have something to decide.
	changed bool
	// releases are the parts of allotments that the queue took out of use.
	releases map[unit.Team]unit.Resources
	out      []dispatcher.Effect
}

func newCore(az unit.AvailabilityZone, state *registrar.Registrar, c dispatcher.Config) *core {
	k := &core{az: az, state: state, newTask: c.NewTask, d: dispatcher.New(c)}
	k.reset()
	return k
}

// reset starts with an empty queue.
func (k *core) reset() {
	k.q = queuer.New(queuer.Config{})
	k.waiting = map[unit.Queue]int{}
	k.tasks = map[unit.Task]unit.Queue{}
	k.version = 0
	k.text = textWork{}
}

// hold begins to schedule the zone under an epoch.
func (k *core) hold(now clock.Millis, epoch unit.Epoch, from dispatcher.PriorUpstreams) {
	k.d.Deactivate(now)
	k.flush(now)
	k.reset()
	k.refresh()
	for team, amount := range k.state.Allotments(k.az) {
		k.q.SetInherited(team, bounded(amount))
	}
	k.d.Activate(now, epoch, from)
	k.restore(now)
}

// bounded returns an allotment without the dimensions that have no bound:
// nothing needs to be counted against them.
func bounded(r unit.Resources) unit.Resources {
	v := r.Vector()
	for i := range v {
		if v[i] >= unit.Unlimited {
			v[i] = 0
		}
	}
	return unit.FromVector(v)
}

// lose ends the schedule of the zone.
func (k *core) lose(now clock.Millis) {
	k.d.Deactivate(now)
}

// refresh takes what the log says of teams and allotments.
func (k *core) refresh() {
	config, version := k.state.Config()
	if version != k.version {
		k.config, k.version = config, version
		k.works = workSpecs(config)
		k.text.plan(config, k.az)
		teams := make([]queuer.Team, 0, len(config.Teams))
		for _, t := range config.Teams {
			teams = append(teams, queuer.Team{Name: t.Name, Share: t.Share, Limit: t.Limit})
		}
		k.q.SetTeams(teams)
	}
	k.releases = k.q.AdjustAllotments(k.state.Allotments(k.az), k.state.Excess(k.az))
	k.changed = true
}

// restore takes the open requests that the log holds.
func (k *core) restore(now clock.Millis) {
	for _, rec := range k.state.OpenRecords(k.az) {
		k.d.Restore(now, known(rec), k.size(rec.Request))
	}
}

// known turns a record of the log into the dispatcher's view.
func known(rec registrar.Record) dispatcher.RequestRecord {
	k := dispatcher.RequestRecord{
		Request:   rec.Request,
		Accepted:  rec.Accepted,
		Cancelled: rec.Cancelled,
		Attempt:   rec.Intent.Task,
	}
	if !rec.Open() {
		o, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		if err != nil {
			o = dispatcher.Unknown{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonInternal, Detail: err.Error()}}
		}
		k.Outcome = o
	}
	return k
}

// submit takes a request that a caller waits for.
func (k *core) submit(now clock.Millis, r dispatcher.Request) {
	rec, registered := k.state.Record(r.ID)
	if !registered {
		k.d.Submit(now, r, k.size(r), nil)
		return
	}
	have := known(rec)
	k.d.Submit(now, r, k.size(r), &have)
}

// report takes an upstream's report.
func (k *core) report(now clock.Millis, r dispatcher.Report) dispatcher.ReportReply {
	reply := k.d.HandleReport(now, r)
	k.flush(now)
	for _, running := range r.Running {
		if k.text.found(running.Request) {
			k.d.Cancel(now, running.Request)
		}
		k.q.RecordUsage(running.Task, running.Usage)
	}
	return reply
}

// decide carries out what the queue decides, if starts are allowed, and
// returns the effects that leave the process.
func (k *core) decide(now clock.Millis, mayStart bool) []dispatcher.Effect {
	k.flush(now)
	for range maxRounds {
		if !mayStart || !k.changed || k.d.Epoch() == 0 {
			break
		}
		decisions := k.q.Decide(now, maxDecisions)
		k.changed = len(decisions) >= maxDecisions
		for _, decision := range decisions {
			k.take(now, decision)
		}
		k.flush(now)
	}
	out := k.out
	k.out = nil
	return out
}

func (k *core) take(now clock.Millis, decision queuer.Decision) {
	switch decision := decision.(type) {
	case queuer.Start:
		k.leaveQueue(decision.Task)
		k.d.HandlePlacement(now, decision.Task, decision.Upstream)
	case queuer.Preempt:
		k.d.Preempt(now, decision.Task, decision.Checkpoint)
	case queuer.Reject:
		k.leaveQueue(decision.Task)
		k.d.Reject(now, decision.Task, decision.Refusal)
	}
}
