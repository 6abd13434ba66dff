package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// pollsPerZoneLease is how many times per lease duration the holder renews its
// lease and other instances check whether it has expired.
const pollsPerZoneLease = 4

// Machine is the state machine of an instance that holds or wants the lease of
// its zone. Callers pass the current time and carry out the actions that Poll
// returns. Its methods must not be called concurrently.
type Machine struct {
	self  unit.Instance
	az    unit.AvailabilityZone
	peers []unit.Instance
	lease clock.Millis
	// startedAt is when this process started. Promises that it gave before a
	// restart are lost, so it counts as bound by a promise until one could
	// have expired: for one lease duration plus the drift allowance.
	startedAt clock.Millis
	// zone is the latest state of the zone in the log.
	zone registrar.Zone
	// epoch is the epoch that this process holds or held last; 0 if none.
	epoch unit.Epoch
	// released is set once this process releases the zone, and never cleared.
	// A takeover that succeeds later isn't used, so its lease expires.
	released bool
	// leaseEnd is when the lease from the log's leader expires.
	leaseEnd clock.Millis
	// promiseEnds is when the promise of each peer expires.
	promiseEnds map[unit.Instance]clock.Millis
	// given is the promise that this instance gave last.
	given givenPromise
	// roster is this holder's own; received is another holder's, which came
	// with its requests for promises.
	roster         holderRoster
	received       receivedRoster
	priorUpstreams PriorUpstreams
	// proposal is the takeover in progress; nil if none.
	proposal *proposal
	lastPoll clock.Millis
}

// givenPromise is a promise not to take the zone from the holder of epoch before
// end.
type givenPromise struct {
	epoch unit.Epoch
	end   clock.Millis
}

// proposal is a Take whose result isn't known yet. While it exists, this
// instance gives no promise to the holder of prior.
type proposal struct {
	prior unit.Epoch
	// expiresAt is when the ticket of the Take has expired at any leader, so
	// that no leader proposes the Take any more.
	expiresAt clock.Millis
	// settling is set while the command of a Settle action is in progress.
	settling bool
}

// NewMachine returns the Machine of instance self in zone az, for a process that
// starts at now.
func NewMachine(self unit.Instance, az unit.AvailabilityZone, peers []unit.Instance, lease, now clock.Millis) *Machine {
	return &Machine{
		self:        self,
		az:          az,
		peers:       peers,
		lease:       lease,
		startedAt:   now,
		promiseEnds: map[unit.Instance]clock.Millis{},
		roster:      newHolderRoster(),
		lastPoll:    now - lease,
	}
}

// HoldsLease reports whether this instance may start tasks at now, and returns
// the epoch.
func (m *Machine) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	if m.epoch == 0 || m.released || m.zone.Epoch > m.epoch {
		return 0, false
	}
	return m.epoch, now < m.leaseEnd || m.isPromisedByAllPeers(now)
}

// isPromisedByAllPeers reports whether the promise of every peer is valid at
// now. It returns true without peers: no other instance can take the zone then.
func (m *Machine) isPromisedByAllPeers(now clock.Millis) bool {
	for _, p := range m.peers {
		if now >= m.promiseEnds[p] {
			return false
		}
	}
	return true
}

// Epoch returns the epoch of this instance, and whether this instance is the
// holder. The holder may lack a valid lease.
func (m *Machine) Epoch() (unit.Epoch, bool) {
	return m.epoch, m.epoch != 0 && !m.released && m.zone.Epoch <= m.epoch
}

// Observe handles a state of the zone in the log.
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
		// The reply to the Take hasn't arrived and may be lost. So neither the
		// lease nor the leader's copy of the prior holder's roster is known.
		m.becomeHolder(z.Epoch, 0, PriorUpstreams{})
	}
}

// becomeHolder makes this instance the holder under epoch.
func (m *Machine) becomeHolder(epoch unit.Epoch, leaseEnd clock.Millis, prior PriorUpstreams) {
	m.epoch = epoch
	m.priorUpstreams = prior
	m.roster = newHolderRoster()
	m.leaseEnd = leaseEnd
	clear(m.promiseEnds)
}

// HandlePromise handles another instance's request for a promise.
func (m *Machine) HandlePromise(now clock.Millis, p Promise) PromiseReply {
	if p.AvailabilityZone != m.az || p.Epoch < m.zone.Epoch || p.Epoch <= m.epoch {
		return PromiseReply{}
	}
	if m.proposal != nil && m.proposal.prior >= p.Epoch {
		return PromiseReply{}
	}
	if p.Epoch < m.given.epoch {
		return PromiseReply{}
	}
	m.given = givenPromise{epoch: p.Epoch, end: now + m.lease + DriftAllowance(m.lease)}
	return PromiseReply{Given: true, Receipt: m.received.store(p.Epoch, p.Roster, Keeper(m.startedAt))}
}

// SetUpstreams sets the upstreams on which this holder of epoch wants to start
// tasks. complete means that no task of an earlier epoch runs on any other
// upstream. It reports whether the roster changed. The next poll, which is then
// due at once, sends the change.
func (m *Machine) SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, complete bool) bool {
	if epoch != m.epoch || !m.roster.set(upstreams, complete) {
		return false
	}
	m.lastPoll = 0
	return true
}

// IsUpstreamConfirmed reports whether tasks may start on an upstream.
func (m *Machine) IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool {
	return epoch == m.epoch && m.roster.isConfirmed(u, m.peers)
}

// PriorUpstreams returns the upstreams on which tasks of earlier schedulers may
// run at the beginning of epoch.
func (m *Machine) PriorUpstreams(epoch unit.Epoch) PriorUpstreams {
	if epoch != m.epoch {
		return PriorUpstreams{}
	}
	return m.priorUpstreams
}

// HandleRelease voids the promise given to a holder that released the zone.
func (m *Machine) HandleRelease(r Release) {
	if r.AvailabilityZone == m.az && r.Epoch == m.given.epoch {
		m.given.end = 0
	}
	if r.AvailabilityZone == m.az && r.Epoch == m.zone.Epoch {
		// Makes the next poll due at once: the lease has ended.
		m.lastPoll = 0
	}
}

// isBoundByPromise reports whether a promise forbids this instance to take the
// zone from the holder of prior.
func (m *Machine) isBoundByPromise(now clock.Millis, prior unit.Epoch) bool {
	if prior == 0 {
		return false
	}
	if now < m.startedAt+m.lease+DriftAllowance(m.lease) {
		return true
	}
	return m.given.epoch >= prior && now < m.given.end
}

// Release stops this instance from starting tasks and from taking the zone. If
// this instance is the holder, it returns the message for the log's leader and
// the peers.
func (m *Machine) Release() (Release, bool) {
	epoch, held := m.Epoch()
	m.released = true
	if !held {
		return Release{}, false
	}
	return Release{AvailabilityZone: m.az, Instance: m.self, Epoch: epoch}, true
}
