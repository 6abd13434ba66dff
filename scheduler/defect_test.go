package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// defect is a deliberate fault in a component, injected to show that the observer
// detects it. The zero value is no defect.
type defect struct {
	// acceptsLateOrders makes upstreams execute orders of older epochs, of other
	// incarnations and of any age.
	acceptsLateOrders bool
	// keepsZone makes a scheduler that once held the zone keep it forever.
	keepsZone bool
	// claimsNotSent makes a start order without an answer count as not sent.
	claimsNotSent bool
	// grantsEveryIntent grants each intent and records none.
	grantsEveryIntent bool
	// doublesCapacity doubles the capacity in the reports of upstreams.
	doublesCapacity bool
	// swapsAnswers replaces the answer to a start order with another request's.
	swapsAnswers bool
	// hidesDeparture clears Departing in the reports of upstreams.
	hidesDeparture bool
	// wrongTeam submits requests under another team.
	wrongTeam bool
	// overAllocates lets each zone use the whole limit of a team.
	overAllocates bool
	// keepsHandedBack makes entry instances pass the refusals of a scheduler that
	// hands over to the callers, instead of resending to the next scheduler.
	keepsHandedBack bool
}

// endlessHolder is a Holder whose lease never expires.
type endlessHolder struct {
	elector *elector.Elector
	epoch   unit.Epoch
}

// HoldsLease implements Holder.
func (h *endlessHolder) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	if epoch, ok := h.elector.HoldsLease(now); ok {
		h.epoch = epoch
	}
	return h.epoch, h.epoch > 0
}

// holder returns the Holder of the scheduler of n.
func (d defect) holder(n *node) Holder {
	if d.keepsZone {
		return &endlessHolder{elector: n.elector}
	}
	return n.elector
}

// reply returns the result of a start order as the scheduler gets it.
func (d defect) reply(r dispatcher.StartReply, err error) (dispatcher.StartReply, error) {
	if d.claimsNotSent && err != nil {
		return nil, &dispatcher.NotSentError{Cause: err}
	}
	if done, ok := r.(dispatcher.Finished); ok && d.swapsAnswers {
		done.Done.Answer = answerOf("another")
		return done, nil
	}
	return r, err
}

// command returns the command that is committed in place of c.
func (d defect) command(c registrar.Command) registrar.Command {
	if _, ok := c.(registrar.RecordIntent); ok && d.grantsEveryIntent {
		return registrar.TakeZone{AvailabilityZone: "a", Prior: 1 << 40}
	}
	return c
}

// result returns the result of c as the proposer gets it.
func (d defect) result(c registrar.Command, result registrar.Result) registrar.Result {
	if _, ok := c.(registrar.RecordIntent); !ok || !d.grantsEveryIntent {
		return result
	}
	return registrar.RequestRecorded{Granted: true}
}

// report returns a report as the scheduler gets it.
func (d defect) report(r dispatcher.Report) dispatcher.Report {
	if d.doublesCapacity {
		r.Holds = r.Holds.Add(r.Holds)
	}
	if d.hidesDeparture {
		r.Departing = false
	}
	return r
}

// request returns a request as the scheduler gets it.
func (d defect) request(r dispatcher.Request) dispatcher.Request {
	if d.wrongTeam {
		r.Team = "prelo"
	}
	return r
}
