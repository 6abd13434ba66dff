package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// pollsPerLease is how often within a lease the holder renews, and others look
// whether the lease has lapsed.
const pollsPerLease = 4

// Machine is one instance's part in choosing the scheduler of its zone. Its
// callers give it the time and carry out what Poll returns; all methods are
// called one at a time.
type Machine struct {
	self  unit.Instance
	az    unit.AvailabilityZone
	peers []unit.Instance
	lease clock.Millis
	// started is when this process began. What an earlier life promised is
	// forgotten, so it counts as promised until a lease after the start.
	started clock.Millis
	// zone is the latest that the log said.
	zone registrar.Zone
	// epoch is held by this life of the process; 0 if none.
	epoch unit.Epoch
	// released is set for good once this process hands over: a takeover that
	// ends later isn't used, and its lease lapses.
	released bool
	// leased is the end of the lease from the log's leader.
	leased clock.Millis
	// promised is the end of each peer's promise.
	promised map[unit.Instance]clock.Millis
	given    given
	// roster is this holder's; kept is the one that came with promises.
	roster    heldRoster
	kept      keptRoster
	inherited PriorUpstreams
	proposal  *proposal
	polled    clock.Millis
}

// given is the promise that binds this instance.
type given struct {
	epoch unit.Epoch
	until clock.Millis
}

// proposal is a Take whose end isn't known yet. While it exists, this instance
// promises nothing to the holder of prior.
type proposal struct {
	prior unit.Epoch
	// expires is when the Take can't be carried out any more, since its
	// ticket has run out wherever it is.
	expires clock.Millis
	// settling is set while a command that settles the proposal is on its way.
	settling bool
}

// NewMachine returns the part of an instance that starts at now.
func NewMachine(self unit.Instance, az unit.AvailabilityZone, peers []unit.Instance, lease, now clock.Millis) *Machine {
	return &Machine{
		self:     self,
		az:       az,
		peers:    peers,
		lease:    lease,
		started:  now,
		promised: map[unit.Instance]clock.Millis{},
		roster:   newHeldRoster(),
		polled:   now - lease,
	}
}

// HoldsLease reports whether this instance may start work at now, and under
// which epoch.
func (m *Machine) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	if m.epoch == 0 || m.released || m.zone.Epoch > m.epoch {
		return 0, false
	}
	return m.epoch, now < m.leased || m.isPromised(now)
}

// isPromised reports whether every peer has promised not to take the zone. An
// instance without peers is the only one that can take its zone.
func (m *Machine) isPromised(now clock.Millis) bool {
	for _, p := range m.peers {
		if now >= m.promised[p] {
			return false
		}
	}
	return true
}

// Epoch returns the epoch that this instance holds, if it does.
func (m *Machine) Epoch() (unit.Epoch, bool) {
	return m.epoch, m.epoch != 0 && !m.released && m.zone.Epoch <= m.epoch
}

// Observe takes what the log says of the zone.
func (m *Machine) Observe(z registrar.Zone) {
	if z.Epoch < m.zone.Epoch {
		return
	}
	m.zone = z
	if m.proposal == nil || z.Epoch <= m.proposal.prior {
		return
	}
	won := z.Epoch == m.proposal.prior+1 && z.Holder == m.self
	m.proposal = nil
	if won && z.Epoch > m.epoch {
		// The lease of this Take isn't counted, since its answer was lost.
		// Nor is what the leader had of the prior holder's roster.
		m.hold(z.Epoch, 0, PriorUpstreams{})
	}
}

func (m *Machine) hold(e unit.Epoch, leased clock.Millis, from PriorUpstreams) {
	m.epoch = e
	m.inherited = from
	m.roster = newHeldRoster()
	m.leased = leased
	clear(m.promised)
}

// OnPromise answers another instance's request for a promise.
func (m *Machine) OnPromise(now clock.Millis, p Promise) PromiseReply {
	if p.AvailabilityZone != m.az || p.Epoch < m.zone.Epoch || p.Epoch <= m.epoch {
		return PromiseReply{}
	}
	if m.proposal != nil && m.proposal.prior >= p.Epoch {
		return PromiseReply{}
	}
	if p.Epoch < m.given.epoch {
		return PromiseReply{}
	}
	m.given = given{epoch: p.Epoch, until: now + m.lease + Drift(m.lease)}
	return PromiseReply{Given: true, Receipt: m.kept.take(p.Epoch, p.Roster, Keeper(m.started))}
}

// SetUpstreams sets the upstreams that this holder of epoch wants to start work on,
// and whether nothing older runs elsewhere. The change goes out with the next
// poll, which is due at once.
func (m *Machine) SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, whole bool) bool {
	if epoch != m.epoch || !m.roster.set(upstreams, whole) {
		return false
	}
	m.polled = 0
	return true
}

// IsUpstreamConfirmed reports whether work may be started on an upstream.
func (m *Machine) IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool {
	return epoch == m.epoch && m.roster.lists(u, m.peers)
}

// PriorUpstreams returns what is known of where the work of earlier schedulers can
// run, at the beginning of an epoch.
func (m *Machine) PriorUpstreams(epoch unit.Epoch) PriorUpstreams {
	if epoch != m.epoch {
		return PriorUpstreams{}
	}
	return m.inherited
}

// OnRelease voids the promise given to a holder that handed over.
func (m *Machine) OnRelease(r Release) {
	if r.AvailabilityZone == m.az && r.Epoch == m.given.epoch {
		m.given.until = 0
	}
	if r.AvailabilityZone == m.az && r.Epoch == m.zone.Epoch {
		// Look for the lapsed lease at the next poll.
		m.polled = 0
	}
}

// isBound reports whether a promise keeps this instance from taking the zone
// from the holder of prior.
func (m *Machine) isBound(now clock.Millis, prior unit.Epoch) bool {
	if prior == 0 {
		return false
	}
	if now < m.started+m.lease+Drift(m.lease) {
		return true
	}
	return m.given.epoch >= prior && now < m.given.until
}

// Release stops this instance from starting work and from taking the zone. It
// returns the message for the log's leader and the peers, if there was
// something to release.
func (m *Machine) Release() (Release, bool) {
	e, held := m.Epoch()
	m.released = true
	if !held {
		return Release{}, false
	}
	return Release{AvailabilityZone: m.az, Instance: m.self, Epoch: e}, true
}
