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

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict.
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
	sound fault = iota
	unchecked
	noCarry
	spendsExcess
	releasesTwice
	releasesBeforeReturn
)

var zones = []unit.AvailabilityZone{"a", "b", "c"}

const team = unit.Team("t")

// fleetModel is three zones and the log between them, any of which may be cut
// off, and what really runs.
type fleetModel struct {
	fault  fault
	choose []int
	fleet  FleetQuota
	limit  unit.Resources
	live   map[unit.AvailabilityZone]bool
	sides  map[unit.AvailabilityZone]*side
}

// side is a zone: its scheduler's view and what its upstreams run.
type side struct {
	zone    *ZoneQuota
	running []unit.Resources
	// unknown are running tasks that a new scheduler hasn't found yet.
	unknown []unit.Resources
	// releases are on their way to the log, or were lost.
	releases []release
	sent     release
	pending  bool
	// carrying is set until the new scheduler has found all that runs.
	carrying bool
}

type release struct {
	part   unit.Resources
	change uint64
}

func (m *fleetModel) pick(n int) int {
	if len(m.choose) == 0 {
		return 0
	}
	v := m.choose[0]
	m.choose = m.choose[1:]
	return v % n
}

func amount(m *fleetModel, n int) unit.Resources {
	return unit.Resources{CPU: unit.MilliCPU(m.pick(n)), Slots: unit.Count(m.pick(n))}
}

// play returns how a script broke the limit, or nil.
func play(choose []int, f fault) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("panic: %v", r)
		}
	}()
	m := &fleetModel{fault: f, choose: choose, live: map[unit.AvailabilityZone]bool{}, sides: map[unit.AvailabilityZone]*side{}}
	for _, az := range zones {
		m.live[az] = true
		m.sides[az] = &side{}
		m.renew(m.sides[az])
	}
	m.limit = unit.Resources{CPU: 20, Slots: 20}
	m.configure()
	for len(m.choose) > 0 {
		held := m.held()
		m.step(zones[m.pick(len(zones))])
		if err := m.check(held); err != nil {
			return err
		}
	}
	return nil
}

func (m *fleetModel) renew(s *side) {
	s.zone = NewZoneQuota()
	if m.fault == unchecked {
		s.zone.DisableChecks()
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
	s := m.sides[az]
	switch m.pick(12) {
	case 0:
		m.limit = amount(m, 40)
		if m.pick(5) == 0 {
			m.limit.Slots = unit.Unlimited
		}
		m.configure()
	case 1, 2:
		m.refresh(az, s)
	case 3:
		m.fleet.Acquire(az, team, amount(m, 20))
	case 4:
		m.giveBack(az, s)
	case 5:
		m.applyRelease(az, s)
	case 6, 7, 8:
		if need := amount(m, 6); s.zone.Reserve(team, need) {
			s.running = append(s.running, need)
		}
	case 9:
		m.endOne(s)
	case 10:
		m.takeover(az, s)
	case 11:
		m.loseOrFind(az, s)
	}
}

// refresh brings a zone the log's state; a zone that is cut off gets none.
func (m *fleetModel) refresh(az unit.AvailabilityZone, s *side) {
	allotted, excess := m.fleet.Allotments(az)[team], m.fleet.Excess(az)[team]
	if m.fault == spendsExcess {
		s.zone.Set(team, allotted)
		s.release(release{excess, m.fleet.Revision(az, team)})
		return
	}
	if s.pending && m.fleet.Revision(az, team) != s.sent.change {
		s.pending = false
		s.zone.FinishRelease(team, allotted, excess)
		return
	}
	s.zone.Adjust(team, allotted, excess)
}

func (s *side) release(r release) {
	if !r.part.IsZero() {
		s.pending, s.sent = true, r
		s.releases = append(s.releases, r)
	}
}

// giveBack returns spare allotment; the release waits to be applied.
func (m *fleetModel) giveBack(az unit.AvailabilityZone, s *side) {
	change := m.fleet.Revision(az, team)
	if m.fault == releasesBeforeReturn {
		s.release(release{s.zone.Available(team), change})
		return
	}
	if s.pending {
		s.releases = append(s.releases, s.sent)
		return
	}
	m.refresh(az, s)
	s.release(release{s.zone.BeginRelease(team, amount(m, 10)), change})
}

// applyRelease brings a release to the log, and maybe once more later.
func (m *fleetModel) applyRelease(az unit.AvailabilityZone, s *side) {
	if len(s.releases) == 0 {
		return
	}
	i := m.pick(len(s.releases))
	r := s.releases[i]
	if m.pick(3) > 0 {
		s.releases = append(s.releases[:i], s.releases[i+1:]...)
	}
	if m.fault == releasesTwice {
		m.fleet.Release(az, team, r.part)
		return
	}
	m.fleet.ReleaseIfUnchanged(az, team, r.part, r.change)
}

func (m *fleetModel) endOne(s *side) {
	if len(s.running) == 0 {
		return
	}
	i := m.pick(len(s.running))
	s.zone.Unreserve(team, s.running[i])
	s.running = append(s.running[:i], s.running[i+1:]...)
}

// takeover gives a zone a new scheduler, or lets it find a task that runs.
func (m *fleetModel) takeover(az unit.AvailabilityZone, s *side) {
	if s.carrying && len(s.unknown) > 0 {
		found := s.unknown[0]
		s.unknown = s.unknown[1:]
		s.zone.Adopt(team, found)
		s.running = append(s.running, found)
		return
	}
	if s.carrying {
		s.carrying = false
		s.zone.ClearInherited(team)
		return
	}
	s.unknown = append(s.unknown, s.running...)
	// The new scheduler's epoch fences off what the old one sent.
	s.running, s.releases, s.pending = nil, nil, false
	m.renew(s)
	s.carrying = true
	if m.fault != noCarry {
		s.zone.SetInherited(team, m.fleet.Allotments(az)[team])
	}
	m.refresh(az, s)
}

// loseOrFind ends a zone with all that runs there, or lets it start anew.
func (m *fleetModel) loseOrFind(az unit.AvailabilityZone, s *side) {
	if m.pick(4) > 0 {
		return
	}
	m.live[az] = !m.live[az]
	*s = side{releases: s.releases}
	m.renew(s)
	m.configure()
}

func (m *fleetModel) held() [unit.Dimensions]int64 {
	var sum [unit.Dimensions]int64
	for _, az := range zones {
		for d, h := range m.fleet.Allotments(az)[team].Vector() {
			sum[d] += min(h, unit.Unlimited)
		}
	}
	return sum
}

// check requires that what runs in a zone never passes the zone's allotment
// in the log, and that the sum of allotments never grows past the limit.
func (m *fleetModel) check(before [unit.Dimensions]int64) error {
	limit := m.limit.Vector()
	for d, held := range m.held() {
		if limit[d] < unit.Unlimited && held > limit[d] && held > before[d] {
			return errors.Newf("allotments grew to %d, the limit is %d", held, limit[d])
		}
	}
	for _, az := range zones {
		s := m.sides[az]
		var runs unit.Resources
		for _, need := range append(append([]unit.Resources(nil), s.running...), s.unknown...) {
			runs = runs.Add(need)
		}
		if allotted := m.fleet.Allotments(az)[team]; !runs.Fits(allotted) {
			return errors.Newf("zone %s runs %v and the log allots %v", az, runs, allotted)
		}
	}
	return nil
}

var scripts = rapid.SliceOfN(rapid.IntRange(0, 1<<20), 50, 500)

// TestLimit plays any history of raised and lowered limits, acquired and
// released allotments, lost and repeated releases, zones that don't hear from
// the log, takeovers and lost zones.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := play(scripts.Draw(t, "script"), sound); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLimitNotices shows that TestLimit fails on broken variants.
func TestLimitNotices(t *testing.T) {
	cases := map[string]fault{
		"reserves without a check":   unchecked,
		"forgets its predecessor":    noCarry,
		"spends the excess":          spendsExcess,
		"releases twice":             releasesTwice,
		"releases before the return": releasesBeforeReturn,
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			noticed := 0
			for seed := range 200 {
				if play(scripts.Example(seed), f) != nil {
					noticed++
				}
			}
			t.Logf("noticed in %d of 200 scripts", noticed)
			is.True(noticed > 0) // the broken variant is noticed
		})
	}
}
