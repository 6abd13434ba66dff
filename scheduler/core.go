package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/queuer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Limits on the work that one event may cause.
const (
	// maxDecisions bounds the decisions that one call of Decide returns.
	maxDecisions = 256
	// maxRounds bounds the calls of Decide for one event.
	maxRounds = 16
)

// core connects the dispatcher to the queue. It is a state machine without
// clock or I/O: it reads the replicated state (package registrar), gets the time
// as an argument, and returns the effects that leave the process.
type core struct {
	az         unit.AvailabilityZone
	state      *registrar.Registrar
	newTask    func() unit.Task
	dispatcher *dispatcher.Dispatcher
	queuer     *queuer.Queuer
	// config is the configuration that refresh applied last, and version is
	// its version.
	config  parser.Config
	version unit.Version
	// specs holds the task specs of the configured workloads.
	specs     map[parser.WorkloadKey]taskSpec
	workloads workloads
	// waitingCount is the number of queued tasks of each queue, and queueOf is
	// the queue of each of them.
	waitingCount map[unit.Queue]int
	queueOf      map[unit.Task]unit.Queue
	// changed is set when Decide may have new decisions.
	changed bool
	// releases are the parts of allotments that the queue has taken out of use
	// and that must be given back.
	releases map[unit.Team]unit.Resources
	// effects are those that decide returns next.
	effects []dispatcher.Effect
}

func newCore(az unit.AvailabilityZone, state *registrar.Registrar, config dispatcher.Config) *core {
	c := &core{az: az, state: state, newTask: config.NewTask, dispatcher: dispatcher.New(config)}
	c.reset()
	return c
}

// reset replaces the queue with an empty one and drops the state that belongs to
// the old one.
func (c *core) reset() {
	c.queuer = queuer.New(queuer.Config{})
	c.waitingCount = map[unit.Queue]int{}
	c.queueOf = map[unit.Task]unit.Queue{}
	c.version = 0
	c.workloads = workloads{}
}

// activate begins to schedule the zone under an epoch.
func (c *core) activate(now clock.Millis, epoch unit.Epoch, prior dispatcher.PriorUpstreams) {
	c.dispatcher.Deactivate(now)
	c.applyEffects(now)
	c.reset()
	c.refresh()
	for team, amount := range c.state.Allotments(c.az) {
		c.queuer.SetInherited(team, withoutUnlimited(amount))
	}
	c.dispatcher.Activate(now, epoch, prior)
	c.restore(now)
}

// withoutUnlimited returns an allotment with its unlimited dimensions set to
// zero, since nothing needs to be charged against them.
func withoutUnlimited(r unit.Resources) unit.Resources {
	v := r.Vector()
	for i := range v {
		if v[i] >= unit.Unlimited {
			v[i] = 0
		}
	}
	return unit.FromVector(v)
}

// deactivate stops scheduling the zone.
func (c *core) deactivate(now clock.Millis) {
	c.dispatcher.Deactivate(now)
}

// refresh applies the registered configuration and allotments to the queue.
func (c *core) refresh() {
	config, version := c.state.Config()
	if version != c.version {
		c.config, c.version = config, version
		c.specs = workloadSpecs(config)
		c.workloads.configure(config, c.az)
		teams := make([]queuer.Team, 0, len(config.Teams))
		for _, t := range config.Teams {
			teams = append(teams, queuer.Team{Name: t.Name, Share: t.Share, Limit: t.Limit})
		}
		c.queuer.SetTeams(teams)
	}
	c.releases = c.queuer.AdjustAllotments(c.state.Allotments(c.az), c.state.Excess(c.az))
	c.changed = true
}

// restore passes the open requests that the log holds to the dispatcher.
func (c *core) restore(now clock.Millis) {
	for _, rec := range c.state.OpenRecords(c.az) {
		c.dispatcher.Restore(now, requestRecord(rec), c.gangSize(rec.Request))
	}
}

// requestRecord converts a record of the log to the dispatcher's type.
func requestRecord(rec registrar.Record) dispatcher.RequestRecord {
	known := dispatcher.RequestRecord{
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
		known.Outcome = o
	}
	return known
}

// submit submits a request that a caller waits for.
func (c *core) submit(now clock.Millis, r dispatcher.Request) {
	rec, registered := c.state.Record(r.ID)
	if !registered {
		c.dispatcher.Submit(now, r, c.gangSize(r), nil)
		return
	}
	known := requestRecord(rec)
	c.dispatcher.Submit(now, r, c.gangSize(r), &known)
}

// report handles an upstream's report and returns the reply to it.
func (c *core) report(now clock.Millis, r dispatcher.Report) dispatcher.ReportReply {
	reply := c.dispatcher.HandleReport(now, r)
	c.applyEffects(now)
	for _, running := range r.Running {
		if c.workloads.recordRunning(running.Request) {
			c.dispatcher.Cancel(now, running.Request)
		}
		c.queuer.RecordUsage(running.Task, running.Usage)
	}
	return reply
}

// decide applies the decisions of the queue, if tasks may be started, and
// returns the effects that leave the process.
func (c *core) decide(now clock.Millis, mayStart bool) []dispatcher.Effect {
	c.applyEffects(now)
	for range maxRounds {
		if !mayStart || !c.changed || c.dispatcher.Epoch() == 0 {
			break
		}
		decisions := c.queuer.Decide(now, maxDecisions)
		c.changed = len(decisions) >= maxDecisions
		for _, decision := range decisions {
			c.applyDecision(now, decision)
		}
		c.applyEffects(now)
	}
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *core) applyDecision(now clock.Millis, decision queuer.Decision) {
	switch decision := decision.(type) {
	case queuer.Start:
		c.uncountQueued(decision.Task)
		c.dispatcher.HandlePlacement(now, decision.Task, decision.Upstream)
	case queuer.Preempt:
		c.dispatcher.Preempt(now, decision.Task, decision.Checkpoint)
	case queuer.Reject:
		c.uncountQueued(decision.Task)
		c.dispatcher.Reject(now, decision.Task, decision.Refusal)
	}
}
