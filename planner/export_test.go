package planner

import "fmt"

// Describe describes the live runs and the upstreams, for the messages of failed tests.
func (p *Planner) Describe() string {
	text := ""
	for _, r := range p.runs {
		text += fmt.Sprintf("%+v\n", *r)
	}
	for _, u := range p.byID {
		text += fmt.Sprintf("%s incarnation %d tokenAcked %t failing %t leaseExpiry %d leaseEndsAt %d runs %v\n", u.ID, u.Incarnation, u.tokenAcked, u.failing, u.leaseExpiry, u.leaseEndsAt, u.SortedRuns())
	}
	return text
}

// MaxBacklog exports maxBacklog.
const MaxBacklog = maxBacklog

// SetEntitlementSlack sets Config.EntitlementSlack; 0 disables entitlements.
func (p *Planner) SetEntitlementSlack(slack float64) { p.entitlements.slack = slack }
