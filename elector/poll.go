package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Action is an action that the caller of Poll must carry out and whose result it
// must pass back to the Machine: SendRenew, SendPromise, SendAsk, SendTake or
// Settle.
type Action interface{ action() }

// SendRenew sends a Renew to the log's leader. The reply goes to
// HandleRenewReply.
type SendRenew struct{ Renew Renew }

// SendPromise sends a Promise to a peer. The reply goes to HandlePromiseReply.
type SendPromise struct {
	To      unit.Instance
	Promise Promise
}

// SendAsk sends an Ask to the log's leader. The reply goes to HandleAskReply.
type SendAsk struct{ Ask Ask }

// SendTake sends a Take to the leader that issued its ticket. The reply goes to
// HandleTakeReply.
type SendTake struct{ Take Take }

// Settle commits a command that changes nothing, to learn the result of a Take.
// The result goes to HandleSettleResult. Once a command that was proposed after
// the ticket expired is committed, the Take has either been applied or never
// will be.
type Settle struct{ Prior unit.Epoch }

func (SendRenew) action()   {}
func (SendPromise) action() {}
func (SendAsk) action()     {}
func (SendTake) action()    {}
func (Settle) action()      {}

// PollInterval returns the time between two polls.
func (m *Machine) PollInterval() clock.Millis {
	return max(m.lease/pollsPerZoneLease, 1)
}

// Poll returns the actions that are due at now.
func (m *Machine) Poll(now clock.Millis) []Action {
	if now < m.lastPoll+m.PollInterval() {
		return nil
	}
	m.lastPoll = now
	if epoch, held := m.Epoch(); held {
		return m.renewActions(epoch)
	}
	if m.proposal != nil {
		return m.settleActions(now)
	}
	if m.released {
		// This instance doesn't compete for the zone any more.
		return nil
	}
	if m.isBoundByPromise(now, m.zone.Epoch) {
		return nil
	}
	return []Action{SendAsk{Ask{AvailabilityZone: m.az, Prior: m.zone.Epoch}}}
}

func (m *Machine) renewActions(epoch unit.Epoch) []Action {
	out := []Action{SendRenew{Renew{
		AvailabilityZone: m.az, Instance: m.self, Epoch: epoch, Roster: m.roster.messageFor(m.roster.byLeader.Receipt),
	}}}
	for _, p := range m.peers {
		out = append(out, SendPromise{To: p, Promise: Promise{
			AvailabilityZone: m.az, Instance: m.self, Epoch: epoch, Roster: m.roster.messageFor(m.roster.byPeer[p].Receipt),
		}})
	}
	return out
}

func (m *Machine) settleActions(now clock.Millis) []Action {
	if now < m.proposal.expiresAt || m.proposal.settling {
		return nil
	}
	m.proposal.settling = true
	return []Action{Settle{Prior: m.proposal.prior}}
}

// HandleRenewReply handles the reply to a Renew that was sent at sentAt.
func (m *Machine) HandleRenewReply(sentAt clock.Millis, r Renew, reply RenewReply) {
	if reply.Granted && r.Epoch == m.epoch {
		m.leaseEnd = max(m.leaseEnd, sentAt+m.lease)
		m.roster.byLeader = m.roster.byLeader.update(sentAt, reply.Receipt)
	}
}

// HandlePromiseReply handles a peer's reply to a Promise that was sent at sentAt.
func (m *Machine) HandlePromiseReply(sentAt clock.Millis, from unit.Instance, p Promise, reply PromiseReply) {
	if reply.Given && p.Epoch == m.epoch {
		m.promiseEnds[from] = max(m.promiseEnds[from], sentAt+m.lease)
		m.roster.byPeer[from] = m.roster.byPeer[from].update(sentAt, reply.Receipt)
	}
}

// HandleAskReply handles the reply to an Ask and returns a SendTake if the lease
// has expired. It checks again that no promise binds this instance, since one
// may have been given in the meantime. Once it returns a SendTake, no promise is
// given until the result of the Take is known.
func (m *Machine) HandleAskReply(now clock.Millis, a Ask, reply AskReply) []Action {
	_, held := m.Epoch()
	if !reply.Lapsed || held || m.released || m.proposal != nil || a.Prior != m.zone.Epoch || m.isBoundByPromise(now, a.Prior) {
		return nil
	}
	m.proposal = &proposal{prior: a.Prior, expiresAt: now + m.lease + DriftAllowance(m.lease)}
	return []Action{SendTake{Take{AvailabilityZone: m.az, Instance: m.self, Prior: a.Prior, Ticket: reply.Ticket}}}
}

// HandleTakeReply handles the reply to a Take that was sent at sentAt. Unless
// the zone was taken, the proposal stays until the log has a new epoch of the
// zone or HandleSettleResult is called.
func (m *Machine) HandleTakeReply(sentAt clock.Millis, t Take, reply TakeReply) {
	if !reply.Taken {
		return
	}
	fromLeader := receivedRoster{Roster: reply.Roster, epoch: t.Prior, known: reply.RosterKnown}
	prior := mergeRosters(t.Prior, fromLeader, m.received)
	if reply.Epoch == m.epoch {
		// The takeover was observed in the log before the reply arrived.
		m.leaseEnd = max(m.leaseEnd, sentAt+m.lease)
		m.priorUpstreams = prior
		return
	}
	if m.proposal == nil || m.proposal.prior != t.Prior {
		return
	}
	m.proposal = nil
	if reply.Epoch > m.epoch && reply.Epoch >= m.zone.Epoch {
		m.becomeHolder(reply.Epoch, sentAt+m.lease, prior)
	}
}

// HandleSettleResult handles the result of a Settle. ok means that its command
// was committed and that Observe was called with the zone's state at that
// commit.
func (m *Machine) HandleSettleResult(s Settle, ok bool) {
	if m.proposal == nil || m.proposal.prior != s.Prior {
		return
	}
	m.proposal.settling = false
	if ok {
		m.proposal = nil
	}
}
