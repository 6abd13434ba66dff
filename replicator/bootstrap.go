package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// bootstrapState is the state of an instance that belongs to no group yet.
//
// The coordinator is the first initial voter in name order. It forms a new group
// once it has received, since it started, the consent of every other initial voter. A
// voter consents only while it belongs to no group. So an instance that lost its disk
// never forms a second group while the others still belong to one, and each
// incarnation belongs to at most one group.
type bootstrapState struct {
	nextRequestAt clock.Millis
	nextJoinAt    clock.Millis
	// consentedTo is the coordinator to which this instance last confirmed that it
	// belongs to no group. Only a group which that coordinator forms may have
	// this instance as an initial voter.
	consentedTo Member
	// consents are the initial voters that consented to a new group, by
	// instance. Only the coordinator uses it.
	consents map[unit.Instance]Member
}

func (c *Core) hasGroup() bool { return c.hardState.Group != "" }

func (c *Core) isCoordinator() bool {
	return len(c.config.InitialVoters) > 0 && slices.Min(c.config.InitialVoters) == c.config.Self.Instance
}

// tickBootstrap asks the other instances for their group or for their consent to
// a new one.
func (c *Core) tickBootstrap() {
	if c.now < c.bootstrap.nextRequestAt {
		return
	}
	c.bootstrap.nextRequestAt = c.now + c.config.HeartbeatInterval
	if c.isCoordinator() {
		c.formGroupIfReady()
	}
	for _, id := range c.config.InitialVoters {
		switch {
		case id == c.config.Self.Instance:
		case c.isCoordinator():
			c.sendAfterSave(Member{Instance: id}, BootstrapRequest{})
		default:
			c.sendAfterSave(Member{Instance: id}, JoinRequest{})
		}
	}
	for _, id := range c.config.Seeds {
		if id != c.config.Self.Instance && !slices.Contains(c.config.InitialVoters, id) {
			c.sendAfterSave(Member{Instance: id}, JoinRequest{})
		}
	}
}

// stepBootstrap handles the messages that don't require both instances to belong
// to the same group, and drops those to other instances. It reports whether it
// handled or dropped m.
func (c *Core) stepBootstrap(m Message) bool {
	if m.To.Instance != c.config.Self.Instance {
		return true
	}
	switch b := m.Body.(type) {
	case BootstrapRequest:
		c.onBootstrapRequest(m)
	case BootstrapConsent:
		if !c.hasGroup() && m.To == c.config.Self && c.isCoordinator() {
			c.bootstrap.consents[m.From.Instance] = m.From
			c.formGroupIfReady()
		}
	case JoinRequest:
		if c.hasGroup() {
			c.onJoinRequest(m, b)
		}
	case GroupInfo:
		c.onGroupInfo(m, b)
	default:
		return false
	}
	return true
}

// onJoinRequest sends the group to the sender. The leader records the request;
// another member relays it to the leader.
func (c *Core) onJoinRequest(m Message, r JoinRequest) {
	c.sendAfterSave(m.From, GroupInfo{Base: c.hardState.Base})
	c.recordJoinRequest(m.From)
	isNew := !c.log.membership().membership.has(m.From)
	if isNew && !r.Relayed && c.role != roleLeader && c.leader != (Member{}) {
		relay := c.newMessage(c.leader, JoinRequest{Relayed: true})
		relay.From = m.From
		c.afterSave = append(c.afterSave, relay)
	}
}

func (c *Core) onBootstrapRequest(m Message) {
	if c.hasGroup() {
		c.onJoinRequest(m, JoinRequest{})
		return
	}
	c.bootstrap.consentedTo = m.From
	c.sendAfterSave(m.From, BootstrapConsent{})
}

// formGroupIfReady forms the group once all initial voters have consented.
func (c *Core) formGroupIfReady() {
	if c.hasGroup() {
		return
	}
	if c.bootstrap.consents == nil {
		c.bootstrap.consents = map[unit.Instance]Member{}
	}
	c.bootstrap.consents[c.config.Self.Instance] = c.config.Self
	var base Membership
	for _, id := range c.config.InitialVoters {
		m, ok := c.bootstrap.consents[id]
		if !ok {
			return
		}
		base.Voters = append(base.Voters, m)
	}
	c.enterGroup(c.config.Self.Incarnation, base)
	for _, m := range base.others(c.config.Self) {
		c.sendAfterSave(m, GroupInfo{Base: base})
	}
	c.electionDeadline = c.now + 2*c.config.HeartbeatInterval
}

func (c *Core) onGroupInfo(m Message, g GroupInfo) {
	if c.hasGroup() || m.Group == "" || m.To.Instance != c.config.Self.Instance {
		return
	}
	if m.To.Incarnation != "" && m.To != c.config.Self {
		return
	}
	consentedToOther := c.bootstrap.consentedTo != Member{} && c.bootstrap.consentedTo.Incarnation != m.Group
	if g.Base.isVoter(c.config.Self) && consentedToOther {
		return
	}
	c.enterGroup(m.Group, g.Base)
}

// enterGroup makes this instance belong to a group. This is final for the
// incarnation of its disk.
func (c *Core) enterGroup(g GroupID, base Membership) {
	c.hardState.Group, c.hardState.Base = g, base
	c.hardStateDirty = true
	c.snapshot.Membership = base
	c.log.reset(c.snapshot)
	c.resetElectionTimer()
}
