package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// retryInfeasible is when a job that can't be served should be submitted again at the
// earliest. Only a change of the configuration or of the upstreams can help.
const retryInfeasible = 10 * clock.Second

// feasible returns why a submission can't be served by the domain as it is: a task or a gang
// needs more than its account may have running, or no upstream of the service can hold a
// task. It returns an empty string if the submission can be served, or if the domain has no
// upstream of the service yet.
func (p *Planner) feasible(account *keeper.Account, service string, submission *keeper.Submission) string {
	// fitting are the capacities of upstreams that hold an earlier step, by label. With them
	// the upstreams are visited at most once for each kind of upstream, and not for each of
	// up to maxSteps steps.
	fitting := map[string][]unit.Resources{}
	unknown := false
	for i := range submission.Steps {
		s := &submission.Steps[i]
		need := p.state.NeedOf(s)
		together := need
		if s.Gang {
			together = multiply(need, s.Count)
		}
		if account != nil && exceedsQuota(together, account.Quota) {
			return "the tasks that must run together need more than the account's maximum"
		}
		if unknown || slices.ContainsFunc(fitting[s.Requires], need.Fits) {
			continue
		}
		known, u := p.fittingUpstream(s, need, service)
		switch {
		case u != nil:
			fitting[s.Requires] = append(fitting[s.Requires], u.Capacity)
		case known:
			return "no upstream of the service can hold a task"
		default:
			unknown = true
		}
	}
	return ""
}

// exceedsQuota reports whether an amount exceeds a quota, in which 0 means no limit.
func exceedsQuota(amount, quota unit.Resources) bool {
	a, limit := amount.Vector(), quota.Vector()
	for i := range a {
		if limit[i] > 0 && a[i] > limit[i] {
			return true
		}
	}
	return false
}

// fittingUpstream returns an upstream that has the label and the capacity for a task, or nil,
// and whether the service has upstreams at all.
func (p *Planner) fittingUpstream(s *keeper.Step, need unit.Resources, service string) (known bool, fitting *upstream) {
	for _, u := range p.byID {
		if u.Service != service || u.ended {
			continue
		}
		known = true
		if u.HasLabel(s.Requires) && need.Fits(u.Capacity) {
			return true, u
		}
	}
	return known, nil
}
