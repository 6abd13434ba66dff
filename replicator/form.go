package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// formation is the state of an instance that belongs to no group yet.
//
// A new group is formed by the first of the bootstrap instances, once all of
// them have answered it, since it started, that they belong to no group. So an
// instance that lost its disk never forms a second group beside the one that
// the others still hold, and each life of a disk belongs to one group at most.
type formation struct {
	askAt  clock.Millis
	joinAt clock.Millis
	// asked is who this instance last told that it belongs to no group. Only
	// that one's group may then count this instance as a first voter.
	asked Member
	ready map[unit.Instance]Member
}

func (c *Core) isFormed() bool { return c.hard.Group != "" }

func (c *Core) isCoordinator() bool {
	return len(c.config.Bootstrap) > 0 && slices.Min(c.config.Bootstrap) == c.config.Self.Instance
}

// tickForm asks the others for their group or for their consent to a new one.
func (c *Core) tickForm() {
	if c.now < c.form.askAt {
		return
	}
	c.form.askAt = c.now + c.config.Heartbeat
	if c.isCoordinator() {
		c.formIfReady()
	}
	for _, id := range c.config.Bootstrap {
		switch {
		case id == c.config.Self.Instance:
		case c.isCoordinator():
			c.message(Member{Instance: id}, Ask{})
		default:
			c.message(Member{Instance: id}, Join{})
		}
	}
	for _, id := range c.config.Contacts {
		if id != c.config.Self.Instance && !slices.Contains(c.config.Bootstrap, id) {
			c.message(Member{Instance: id}, Join{})
		}
	}
}

// stepForm handles the messages that are exchanged between instances of which
// one may belong to no group. It reports whether m was one.
func (c *Core) stepForm(m Message) bool {
	if m.To.Instance != c.config.Self.Instance {
		return true
	}
	switch b := m.Body.(type) {
	case Ask:
		c.onAsk(m)
	case Ready:
		if !c.isFormed() && m.To == c.config.Self && c.isCoordinator() {
			c.form.ready[m.From.Instance] = m.From
			c.formIfReady()
		}
	case Join:
		if c.isFormed() {
			c.onJoin(m, b)
		}
	case Form:
		c.onForm(m, b)
	default:
		return false
	}
	return true
}

// onJoin tells the sender which group there is and brings its wish to the
// leader.
func (c *Core) onJoin(m Message, j Join) {
	c.message(m.From, Form{Base: c.hard.Base})
	c.noteJoin(m.From)
	stranger := !c.log.membership().membership.has(m.From)
	if stranger && !j.Relayed && c.role != roleLeader && c.leader != (Member{}) {
		relay := c.addressed(c.leader, Join{Relayed: true})
		relay.From = m.From
		c.late = append(c.late, relay)
	}
}

func (c *Core) onAsk(m Message) {
	if c.isFormed() {
		c.onJoin(m, Join{})
		return
	}
	c.form.asked = m.From
	c.message(m.From, Ready{})
}

// formIfReady forms the group once all first voters have consented.
func (c *Core) formIfReady() {
	if c.isFormed() {
		return
	}
	if c.form.ready == nil {
		c.form.ready = map[unit.Instance]Member{}
	}
	c.form.ready[c.config.Self.Instance] = c.config.Self
	var base Membership
	for _, id := range c.config.Bootstrap {
		m, ok := c.form.ready[id]
		if !ok {
			return
		}
		base.Voters = append(base.Voters, m)
	}
	c.enter(c.config.Self.Incarnation, base)
	for _, m := range base.others(c.config.Self) {
		c.message(m, Form{Base: base})
	}
	c.electionAt = c.now + 2*c.config.Heartbeat
}

func (c *Core) onForm(m Message, f Form) {
	if c.isFormed() || m.Group == "" || m.To.Instance != c.config.Self.Instance {
		return
	}
	if m.To.Incarnation != "" && m.To != c.config.Self {
		return
	}
	elsewhere := c.form.asked != Member{} && c.form.asked.Incarnation != m.Group
	if f.Base.isVoter(c.config.Self) && elsewhere {
		return
	}
	c.enter(m.Group, f.Base)
}

// enter makes this instance belong to a group, for as long as its disk lives.
func (c *Core) enter(g GroupID, base Membership) {
	c.hard.Group, c.hard.Base = g, base
	c.hardDirty = true
	c.snapshot.Membership = base
	c.log.reset(c.snapshot)
	c.resetElection()
}
