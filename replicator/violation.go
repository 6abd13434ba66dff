package replicator

// ProtocolViolation describes a well-formed message that contradicts the state of
// this member: for example, a second leader in the same term, or entries that
// differ from committed ones. The core ignores the message, so that a faulty
// member doesn't stop the others, and it doesn't count the message as a sign that
// its sender is active. The driver must log it: its cause is a bug, or a disk that
// lost data which had been synced.
type ProtocolViolation struct {
	From   Member
	Term   Term
	Reason string
}

// maxViolations is the maximum number of violations that are kept until the next
// call of ProtocolViolations; later ones are dropped.
const maxViolations = 16

func (c *Core) reportViolation(m Message, reason string) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, ProtocolViolation{m.From, m.Term, reason})
	}
}

// ProtocolViolations returns the violations since the last call.
func (c *Core) ProtocolViolations() []ProtocolViolation {
	violations := c.violations
	c.violations = nil
	return violations
}
