package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// flaw is a deliberately broken part, to show that the observers notice; the
// zero value is none.
type defect struct {
	// lateOrders: upstreams carry out orders of older epochs, other
	// incarnations and any age.
	acceptsLateOrders bool
	// anyHolder: a scheduler that held the zone once goes on for ever.
	keepsZone bool
	// lies: a start without an answer counts as not sent.
	claimsNotSent bool
	// grants: every intent is granted and none is recorded.
	grantsEveryIntent bool
	// boasts: reports claim twice what the upstream holds.
	doublesCapacity bool
	// confuses: the answers of starts go to the wrong request.
	swapsAnswers bool
	// hidesDeparture: reports don't say that the upstream departs.
	hidesDeparture bool
	// wrongTeam: requests arrive under another team.
	wrongTeam bool
	// overAllots: each zone may spend the whole limit.
	overAllocates bool
	// cutsOff: entries don't send again what a scheduler gave back.
	keepsHandedBack bool
}

// endless is a Holder that never stops.
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

func (f defect) holder(n *node) Holder {
	if f.keepsZone {
		return &endlessHolder{elector: n.elector}
	}
	return n.elector
}

func (f defect) reply(r dispatcher.StartReply, err error) (dispatcher.StartReply, error) {
	if f.claimsNotSent && err != nil {
		return nil, &dispatcher.NotSentError{Cause: err}
	}
	if done, is := r.(dispatcher.Finished); is && f.swapsAnswers {
		done.Done.Answer = answerOf("another")
		return done, nil
	}
	return r, err
}

func (f defect) command(c registrar.Command) registrar.Command {
	if _, is := c.(registrar.RecordIntent); is && f.grantsEveryIntent {
		return registrar.TakeZone{AvailabilityZone: "a", Prior: 1 << 40}
	}
	return c
}

func (f defect) result(c registrar.Command, result registrar.Result) registrar.Result {
	if _, is := c.(registrar.RecordIntent); !is || !f.grantsEveryIntent {
		return result
	}
	return registrar.RequestRecorded{Granted: true}
}

func (f defect) report(r dispatcher.Report) dispatcher.Report {
	if f.doublesCapacity {
		r.Holds = r.Holds.Add(r.Holds)
	}
	if f.hidesDeparture {
		r.Departing = false
	}
	return r
}

func (f defect) request(r dispatcher.Request) dispatcher.Request {
	if f.wrongTeam {
		r.Team = "prelo"
	}
	return r
}
