package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// An evacuated availability zone gets no new tasks. Its upstreams are polled as before, so
// that their leases last, and most runs there end by themselves. A run moves to another zone
// (it is stopped and starts again from its checkpoint) if it would occupy the zone for long:
// a long-running one, or one with a checkpoint and much time to go. Runs move a few at a
// time, and only if capacity in another zone is free and stays reserved for them.

// Evacuate has an availability zone evacuated, or withdraws its evacuation. It may be sent
// again.
type Evacuate struct {
	_        struct{} `cbor:",toarray"`
	Zone     unit.AvailabilityZone
	Withdraw bool
}

func (Evacuate) request() {}

// Migration announces that a run in an evacuated zone is stopped to start again elsewhere.
// The driver logs it.
type Migration struct {
	Run  keeper.RunKey
	From unit.Upstream
	// To is the upstream on which capacity is reserved. The task may start on another one.
	To unit.Upstream
	// Remaining is the predicted time to the end of the run.
	Remaining clock.Millis
}

func (Migration) effect() {}

const (
	// maxEvacuatedZones and maxZoneNameBytes bound the state if instances don't know the names
	// of the zones.
	maxEvacuatedZones = 256
	maxZoneNameBytes  = 256
	// defaultEvacuateBound is used if Config.EvacuateBound is 0.
	defaultEvacuateBound = 5 * clock.Second
	// longRemainingFactor times Config.EvacuateBound is the remaining time from which on a
	// run with a checkpoint moves. A move costs up to preemptionCost, and predictions may be
	// off by a factor.
	longRemainingFactor = 2
	// maxMigrations limits the tasks and gangs that move at once. Each move takes a restore,
	// reserved capacity, and for some queues a ticket request.
	maxMigrations = 8
	// migrationTTL is how long capacity stays reserved for a run that moves. A stop, the
	// answer that lists the end, and the start take about a second.
	migrationTTL = 5 * clock.Second
	// migrationInterval is the time between two searches for runs to move, and
	// maxMigrationSearches limits the steps of one search: each visits all upstreams.
	migrationInterval    = 100 * clock.Millisecond
	maxMigrationSearches = 8
	// migrationDelay is how long a new leader moves nothing. A stop that its predecessor
	// ordered takes effect within this time; until then an upstream lists the run as if it
	// went on.
	migrationDelay = 3 * clock.Second
)

// evacuation is what the planner keeps while zones are evacuated.
type evacuation struct {
	// migrations are the moves in progress, by step.
	migrations map[keeper.StepID][]*migration
	// wanting are the steps that need tickets before a run of theirs can move, as of the
	// last search.
	wanting []*step
	// nextSearchAt is the time of the next search, and cursor the index of the run with which
	// it begins.
	nextSearchAt clock.Millis
	cursor       int
}

// migration is the move of one run. The capacity for it is reserved until the task has
// started again.
type migration struct {
	run      keeper.RunKey
	upstream unit.Upstream
	need     unit.Resources
	until    clock.Millis
	booked   bool
}

func (p *Planner) evacuate(r Evacuate) Reply {
	if r.Zone == "" || len(r.Zone) > maxZoneNameBytes {
		return Reply{Code: Invalid, Message: "an availability zone can't have this name"}
	}
	if p.state.EvacuatedZones[r.Zone] == !r.Withdraw {
		return Reply{}
	}
	if !r.Withdraw && len(p.state.EvacuatedZones) >= maxEvacuatedZones {
		return Reply{Code: Invalid, Message: "too many availability zones are evacuated"}
	}
	p.record(keeper.SetEvacuation{Zone: r.Zone, Evacuated: !r.Withdraw})
	p.replanAll()
	return Reply{}
}

// replanAll has all waiting steps planned anew: what they have booked, claimed and chosen for
// ticket requests may be on upstreams that get no tasks any more.
func (p *Planner) replanAll() {
	for _, s := range p.waiting {
		s.blocked, s.claim = false, nil
		s.dropBookings()
		if s.tickets != nil {
			s.tickets.renewals, s.tickets.exhaustedUntil, s.tickets.nextSearchAt = nil, 0, 0
		}
	}
	p.byFreeCPU = nil
	p.dirty = true
}

// IsEvacuated reports whether no task may start in an availability zone.
func (p *Planner) IsEvacuated(zone unit.AvailabilityZone) bool {
	// The length is checked first since a pass asks for each upstream and waiting step.
	return len(p.state.EvacuatedZones) > 0 && p.state.EvacuatedZones[zone]
}

// takesTasks reports whether an upstream may get new tasks: it is schedulable, and its zone
// isn't evacuated.
func (p *Planner) takesTasks(u *upstream) bool { return u.isSchedulable() && !p.IsEvacuated(u.Zone) }

// addEvacuation adds the evacuated zones and the runs left there to the status.
func (p *Planner) addEvacuation(s *Status) {
	s.EvacuatedZones = p.state.SortedEvacuations()
	for _, u := range p.upstreams {
		if p.IsEvacuated(u.Zone) {
			s.EvacuatingRuns += len(u.liveRuns)
		}
	}
}

// migrateRuns moves runs out of the evacuated zones. It is called at the end of a pass, when
// everything that waiting steps can use is taken or booked.
func (p *Planner) migrateRuns() {
	e := &p.evacuation
	e.wanting = e.wanting[:0]
	if len(p.state.EvacuatedZones) == 0 || p.now < e.nextSearchAt || p.now < p.cfg.LeaderSince+migrationDelay {
		return
	}
	e.nextSearchAt = p.now + migrationInterval
	var runs []*run
	for _, u := range p.byID {
		if p.IsEvacuated(u.Zone) {
			runs = append(runs, u.liveRuns...)
		}
	}
	searched := map[keeper.StepID]bool{}
	// refused are the long-running steps of which no run may be stopped now. That is the same
	// for all their runs, and finding it out visits all members of the step.
	refused := map[keeper.StepID]bool{}
	moves := p.movesInProgress()
	for range runs {
		if len(searched) >= maxMigrationSearches || moves >= maxMigrations {
			return
		}
		// The next search goes on where this one ends, so that steps for which there is no
		// capacity don't hold up others.
		r := runs[e.cursor%len(runs)]
		e.cursor = (e.cursor + 1) % len(runs)
		id := r.key.Task.StepID()
		if searched[id] || refused[id] || !p.shouldMigrate(r) {
			continue
		}
		if r.spec.LongRunning && !p.mayInterrupt(r) {
			refused[id] = true
			continue
		}
		searched[id] = true
		p.migrate(p.trackedStep(r), r)
		moves = p.movesInProgress()
	}
}

// movesInProgress returns the number of moves in progress; a gang moves as one.
func (p *Planner) movesInProgress() int {
	n := 0
	for _, list := range p.evacuation.migrations {
		if spec := p.stepSpec(list[0].run); spec != nil && spec.Gang {
			n++
			continue
		}
		n += len(list)
	}
	return n
}

// trackedStep returns the step of a run. After a hand-over, a step of which no task waits
// isn't tracked yet.
func (p *Planner) trackedStep(r *run) *step {
	id := r.key.Task.StepID()
	s := p.steps[id]
	if s == nil {
		s = p.newStep(r.job, id)
		p.trackStep(s)
	}
	return s
}

// shouldMigrate reports whether a run in an evacuated zone is to move, if it finds capacity:
// it occupies the zone for long. A step with waiting tasks has no run moved, since these need
// the capacity first. For a long-running one mayInterrupt has to allow it, too.
func (p *Planner) shouldMigrate(r *run) bool {
	if r.spec == nil || r.job.Phase.IsFinal() || !p.isWorking(r) {
		return false
	}
	if s := p.steps[r.key.Task.StepID()]; s != nil && s.queued {
		return false
	}
	if r.spec.LongRunning {
		return true
	}
	return r.spec.Checkpointing && r.key.Number <= maxPreemptions &&
		p.remainingTime(r) > longRemainingFactor*p.evacuateBound()
}

func (p *Planner) evacuateBound() clock.Millis {
	if p.cfg.EvacuateBound > 0 {
		return p.cfg.EvacuateBound
	}
	return defaultEvacuateBound
}

// isWorking reports whether the upstream of a run has listed it and answers, and the run
// isn't being stopped.
func (p *Planner) isWorking(r *run) bool {
	u := p.upstreams[r.upstream]
	return r.listed && !r.stopRequested && u != nil && u.tokenAcked && !u.failing && !u.ended && u.Incarnation == r.incarnation
}

// mayInterrupt reports whether the step of a long-running task allows the run to be stopped.
// Members that are away for any reason count; at least one may always be stopped, once all
// others work.
func (p *Planner) mayInterrupt(r *run) bool {
	_, st, _ := p.state.LookupTask(r.key.Task)
	if st == nil {
		return false
	}
	away := p.membersOf(r)
	for i, t := range st.Tasks {
		if !slices.ContainsFunc(t.LiveRuns, func(l *keeper.Run) bool {
			o := p.runs[keeper.RunKey{Task: r.key.Task.StepID().TaskID(i), Number: l.Number}]
			return o != nil && p.isWorking(o)
		}) {
			away++
		}
	}
	return away <= max(r.spec.MaxUnavailable, 1)
}

// membersOf returns how many runs have to be stopped to move a run.
func (p *Planner) membersOf(r *run) int {
	if r.spec.Gang {
		return r.spec.Count
	}
	return 1
}

// remainingTime returns the predicted time to the end of a run.
func (p *Planner) remainingTime(r *run) clock.Millis {
	if r.spec.LongRunning {
		return clock.Day
	}
	return p.remaining(r)
}

// migrate stops a run, or all runs of its gang, if there is capacity for them in other zones
// and the step has tickets there. Otherwise it has the tickets requested.
func (p *Planner) migrate(s *step, r *run) {
	runs := p.runsToMove(r)
	if len(runs) < p.membersOf(r) || !p.quotaCoversUse(s.job.Account) {
		return
	}
	var chosen []*upstream
	enough := false
	if s.hasAnyGrant() {
		list := p.candidates(s)
		slices.SortFunc(list, candidate.compare)
		chosen, enough = p.assignGang(s, list, len(runs))
	}
	if s.job.Queue.RequiresTicket && !p.hasTicketsToMove(s, chosen, enough, len(runs)) || !enough {
		return
	}
	for i, member := range runs {
		p.reserveFor(s, member, chosen[i])
		p.addEffect(Migration{Run: member.key, From: member.upstream, To: chosen[i].ID, Remaining: p.remainingTime(member)})
		p.requestStop(member, p.now)
	}
	p.sweepAt = p.now
}

// hasTicketsToMove reports whether the step has tickets for n tasks on the chosen upstreams,
// which are enough for them if so stated. If not, it has those requested that can help.
func (p *Planner) hasTicketsToMove(s *step, chosen []*upstream, enough bool, n int) bool {
	if s.tickets != nil {
		s.tickets.renewals = nil
	}
	if !enough {
		if p.unaskedCapacity(s) >= n-len(chosen) {
			p.evacuation.wanting = append(p.evacuation.wanting, s)
		}
		return false
	}
	renew := slices.DeleteFunc(slices.Clone(chosen), func(u *upstream) bool { return p.hasLastingTicket(s, u) })
	if len(renew) == 0 {
		return true
	}
	p.renewTickets(s, renew)
	p.evacuation.wanting = append(p.evacuation.wanting, s)
	return false
}

// unaskedCapacity returns how many tasks of the step fit on the upstreams about which the
// advice service has not answered yet.
func (p *Planner) unaskedCapacity(s *step) int {
	service, need, n := p.serviceOf(s.job), p.state.NeedOf(s.spec), 0
	for _, u := range p.byID {
		if (s.tickets == nil || s.tickets.granted[u.ID] == nil && !s.tickets.denied[u.ID]) && p.canRun(s, u, service) {
			n += timesFits(need, u.freeCapacity().Sub(p.urgentReserve(s, u)))
		}
	}
	return n
}

// hasLastingTicket reports whether the step's ticket for an upstream stays valid until a run
// can have been stopped.
func (p *Planner) hasLastingTicket(s *step, u *upstream) bool {
	return s.tickets.validUntil(u.ID) >= p.now+min(claimTicketTTL, s.job.Queue.TicketTTL/2)
}

// runsToMove returns a run, or all runs of its gang. A gang of which a member doesn't work
// is broken or has not started in full; its other members are left out.
func (p *Planner) runsToMove(r *run) []*run {
	if !r.spec.Gang {
		return []*run{r}
	}
	var list []*run
	for i := range r.spec.Count {
		o := p.runs[keeper.RunKey{Task: r.key.Task.StepID().TaskID(i), Number: r.key.Number}]
		if o != nil && p.isWorking(o) {
			list = append(list, o)
		}
	}
	return list
}

// quotaCoversUse reports whether an account's runs and what is reserved of its quota fit into
// the quota. Otherwise a run that is stopped could not start again.
func (p *Planner) quotaCoversUse(account unit.ClientAccount) bool {
	a, ok := p.state.Config.AccountByName(account)
	if !ok {
		return true
	}
	limit, used := a.Quota.Vector(), p.state.Used[account].Add(p.reservedQuota[account]).Vector()
	for i := range limit {
		if limit[i] > 0 && used[i] > limit[i] {
			return false
		}
	}
	return true
}

// reserveFor reserves capacity on an upstream for a run that is about to be stopped.
func (p *Planner) reserveFor(s *step, r *run, u *upstream) {
	m := &migration{run: r.key, upstream: u.ID, need: p.state.NeedOf(s.spec), until: p.now + migrationTTL}
	if p.evacuation.migrations == nil {
		p.evacuation.migrations = map[keeper.StepID][]*migration{}
	}
	p.evacuation.migrations[s.id] = append(p.evacuation.migrations[s.id], m)
	p.bookMigration(m)
}

// bookMigrations drops the moves that are over and books the capacity for the others, before
// the waiting steps are placed.
func (p *Planner) bookMigrations() {
	for id, list := range p.evacuation.migrations {
		list = slices.DeleteFunc(list, p.isOver)
		if len(list) == 0 {
			delete(p.evacuation.migrations, id)
			continue
		}
		p.evacuation.migrations[id] = list
		for _, m := range list {
			m.booked = false
			p.bookMigration(m)
		}
	}
}

// isOver reports whether a task that moved works again, needs no run any more, or has taken
// too long.
func (p *Planner) isOver(m *migration) bool {
	j, _, t := p.state.LookupTask(m.run.Task)
	if t == nil || t.Done || j.Phase.IsFinal() || p.now >= m.until {
		return true
	}
	return slices.ContainsFunc(t.LiveRuns, func(l *keeper.Run) bool {
		r := p.runs[keeper.RunKey{Task: m.run.Task, Number: l.Number}]
		return l.Number > m.run.Number && r != nil && p.isWorking(r)
	})
}

// bookMigration books the capacity for a move until its task has started again, which
// charges the capacity to the new run.
func (p *Planner) bookMigration(m *migration) {
	_, _, t := p.state.LookupTask(m.run.Task)
	u := p.upstreams[m.upstream]
	if u == nil || t == nil || t.LastRun > m.run.Number {
		return
	}
	m.booked = true
	p.bookCapacity(u, m.need)
}

// releaseMigrations cancels the bookings for a step's moves while the step itself is placed.
func (p *Planner) releaseMigrations(s *step) {
	for _, m := range p.evacuation.migrations[s.id] {
		if u := p.upstreams[m.upstream]; u != nil && m.booked {
			u.booked = u.booked.Sub(m.need)
		}
		m.booked = false
	}
}

// rebookMigrations books the capacity again for those of the step's tasks that still wait.
func (p *Planner) rebookMigrations(s *step) {
	for _, m := range p.evacuation.migrations[s.id] {
		p.bookMigration(m)
	}
}
