package limiter

import (
	"flag"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/unit"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is what a broken variant does wrong.
type fault int

const (
	noFault fault = iota
	// noChecks disables the checks of Reserve.
	noChecks
	// noInherited leaves out SetInherited in a new scheduler.
	noInherited
	// spendsExcess keeps charging tasks to the excess while it is released.
	spendsExcess
	// ignoresRevision calls Release instead of ReleaseIfUnchanged.
	ignoresRevision
	// releasesWithoutBegin releases in the log without BeginRelease.
	releasesWithoutBegin
)

var zones = []unit.AvailabilityZone{"a", "b", "c"}

const team = unit.Team("t")

// fleetModel models the log and three zones, each of which may be unable to reach
// it.
type fleetModel struct {
	fault   fault
	choices []int
	fleet   FleetQuota
	limit   unit.Resources
	live    map[unit.AvailabilityZone]bool
	zones   map[unit.AvailabilityZone]*zoneModel
}

// zoneModel models a zone: its scheduler's quota and what its upstreams run.
type zoneModel struct {
	quota   *ZoneQuota
	running []unit.Resources
	// unadopted lists running tasks that a new scheduler hasn't adopted yet.
	unadopted []unit.Resources
	// sent lists releases that the log may still apply, also repeatedly.
	sent     []release
	lastSent release
	pending  bool
	// inheriting is set until the new scheduler has adopted all running tasks.
	inheriting bool
}

type release struct {
	amount   unit.Resources
	revision uint64
}

func (m *fleetModel) pick(n int) int {
	if len(m.choices) == 0 {
		return 0
	}
	v := m.choices[0]
	m.choices = m.choices[1:]
	return v % n
}

func drawAmount(m *fleetModel, n int) unit.Resources {
	return unit.Resources{CPU: unit.MilliCPU(m.pick(n)), Slots: unit.Count(m.pick(n))}
}

// runScript returns an error if a limit is exceeded while a script runs.
func runScript(choices []int, f fault) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	m := &fleetModel{fault: f, choices: choices, live: map[unit.AvailabilityZone]bool{}, zones: map[unit.AvailabilityZone]*zoneModel{}}
	for _, az := range zones {
		m.live[az] = true
		m.zones[az] = &zoneModel{}
		m.newQuota(m.zones[az])
	}
	m.limit = unit.Resources{CPU: 20, Slots: 20}
	m.configure()
	for len(m.choices) > 0 {
		allotmentsBefore := m.allotments()
		m.step(zones[m.pick(len(zones))])
		if err := m.checkLimits(allotmentsBefore); err != nil {
			return err
		}
	}
	return nil
}

func (m *fleetModel) newQuota(s *zoneModel) {
	s.quota = NewZoneQuota()
	if m.fault == noChecks {
		s.quota.DisableChecks()
	}
}

func (m *fleetModel) configure() {
	limits := map[unit.Team]unit.Resources{team: m.limit}
	if m.limit.IsZero() {
		limits = nil
	}
	var live, lost []unit.AvailabilityZone
	for _, az := range zones {
		if m.live[az] {
			live = append(live, az)
		} else {
			lost = append(lost, az)
		}
	}
	m.fleet.Configure(limits, live, lost)
}

func (m *fleetModel) step(az unit.AvailabilityZone) {
	s := m.zones[az]
	switch m.pick(12) {
	case 0:
		m.limit = drawAmount(m, 40)
		if m.pick(5) == 0 {
			m.limit.Slots = unit.Unlimited
		}
		m.configure()
	case 1, 2:
		m.refresh(az, s)
	case 3:
		m.fleet.Acquire(az, team, drawAmount(m, 20))
	case 4:
		m.beginRelease(az, s)
	case 5:
		m.applyRelease(az, s)
	case 6, 7, 8:
		if need := drawAmount(m, 6); s.quota.Reserve(team, need) {
			s.running = append(s.running, need)
		}
	case 9:
		m.endTask(s)
	case 10:
		m.replaceScheduler(az, s)
	case 11:
		m.loseOrRestore(az, s)
	}
}

// refresh passes the state of the log to a zone. It isn't called for a zone while
// the zone can't reach the log.
func (m *fleetModel) refresh(az unit.AvailabilityZone, s *zoneModel) {
	allotment, excess := m.fleet.Allotments(az)[team], m.fleet.Excess(az)[team]
	if m.fault == spendsExcess {
		s.quota.Set(team, allotment)
		s.send(release{excess, m.fleet.Revision(az, team)})
		return
	}
	if s.pending && m.fleet.Revision(az, team) != s.lastSent.revision {
		s.pending = false
		s.quota.FinishRelease(team, allotment, excess)
		return
	}
	s.quota.Adjust(team, allotment, excess)
}

func (s *zoneModel) send(r release) {
	if !r.amount.IsZero() {
		s.pending, s.lastSent = true, r
		s.sent = append(s.sent, r)
	}
}

// beginRelease sends the release of spare allotment, or repeats the last one.
func (m *fleetModel) beginRelease(az unit.AvailabilityZone, s *zoneModel) {
	revision := m.fleet.Revision(az, team)
	if m.fault == releasesWithoutBegin {
		s.send(release{s.quota.Available(team), revision})
		return
	}
	if s.pending {
		s.sent = append(s.sent, s.lastSent)
		return
	}
	m.refresh(az, s)
	s.send(release{s.quota.BeginRelease(team, drawAmount(m, 10)), revision})
}

// applyRelease applies a release in the log, and maybe once more later.
func (m *fleetModel) applyRelease(az unit.AvailabilityZone, s *zoneModel) {
	if len(s.sent) == 0 {
		return
	}
	i := m.pick(len(s.sent))
	r := s.sent[i]
	if m.pick(3) > 0 {
		s.sent = append(s.sent[:i], s.sent[i+1:]...)
	}
	if m.fault == ignoresRevision {
		m.fleet.Release(az, team, r.amount)
		return
	}
	m.fleet.ReleaseIfUnchanged(az, team, r.amount, r.revision)
}

func (m *fleetModel) endTask(s *zoneModel) {
	if len(s.running) == 0 {
		return
	}
	i := m.pick(len(s.running))
	s.quota.Unreserve(team, s.running[i])
	s.running = append(s.running[:i], s.running[i+1:]...)
}

// replaceScheduler starts a new scheduler in a zone, or lets the new one adopt a
// running task or clear what it inherited.
func (m *fleetModel) replaceScheduler(az unit.AvailabilityZone, s *zoneModel) {
	if s.inheriting && len(s.unadopted) > 0 {
		found := s.unadopted[0]
		s.unadopted = s.unadopted[1:]
		s.quota.Adopt(team, found)
		s.running = append(s.running, found)
		return
	}
	if s.inheriting {
		s.inheriting = false
		s.quota.ClearInherited(team)
		return
	}
	s.unadopted = append(s.unadopted, s.running...)
	// The log rejects what the old scheduler sent, because its epoch is older.
	s.running, s.sent, s.pending = nil, nil, false
	m.newQuota(s)
	s.inheriting = true
	if m.fault != noInherited {
		s.quota.SetInherited(team, m.fleet.Allotments(az)[team])
	}
	m.refresh(az, s)
}

// loseOrRestore loses a zone with all its running tasks, or restores it empty.
func (m *fleetModel) loseOrRestore(az unit.AvailabilityZone, s *zoneModel) {
	if m.pick(4) > 0 {
		return
	}
	m.live[az] = !m.live[az]
	*s = zoneModel{sent: s.sent}
	m.newQuota(s)
	m.configure()
}

func (m *fleetModel) allotments() [unit.Dimensions]int64 {
	var sum [unit.Dimensions]int64
	for _, az := range zones {
		for d, allotment := range m.fleet.Allotments(az)[team].Vector() {
			sum[d] += min(allotment, unit.Unlimited)
		}
	}
	return sum
}

// checkLimits requires that the running tasks of a zone never exceed the zone's
// allotment in the log, and that the sum of allotments doesn't grow while it
// exceeds the limit.
func (m *fleetModel) checkLimits(allotmentsBefore [unit.Dimensions]int64) error {
	limit := m.limit.Vector()
	for d, allotted := range m.allotments() {
		if limit[d] < unit.Unlimited && allotted > limit[d] && allotted > allotmentsBefore[d] {
			return errors.Newf("allotments grew to %d, the limit is %d", allotted, limit[d])
		}
	}
	for _, az := range zones {
		s := m.zones[az]
		var running unit.Resources
		for _, need := range append(append([]unit.Resources(nil), s.running...), s.unadopted...) {
			running = running.Add(need)
		}
		if allotted := m.fleet.Allotments(az)[team]; !running.Fits(allotted) {
			return errors.Newf("zone %s runs tasks that need %v and has the allotment %v in the log", az, running, allotted)
		}
	}
	return nil
}

var scripts = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 50, 500)

// TestLimit checks the limit in random sequences of events: limits are raised and
// lowered, allotments acquired and released; releases are lost and repeated; zones
// can't reach the log, get a new scheduler or are lost.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runScript(scripts.Draw(t, "script"), noFault); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLimitDetectsBrokenVariants checks that TestLimit fails for broken variants.
func TestLimitDetectsBrokenVariants(t *testing.T) {
	cases := map[string]fault{
		"reserves without a check":      noChecks,
		"ignores inherited tasks":       noInherited,
		"spends the excess":             spendsExcess,
		"releases twice":                ignoresRevision,
		"releases without BeginRelease": releasesWithoutBegin,
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			detected := 0
			for seed := range 200 {
				if runScript(scripts.Example(seed), f) != nil {
					detected++
				}
			}
			t.Logf("detected in %d of 200 scripts", detected)
			is.True(detected > 0) // at least one script detects the broken variant
		})
	}
}
