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
type flaw struct {
	// lateOrders: upstreams carry out orders of older epochs, other
	// incarnations and any age.
	lateOrders bool
	// anyHolder: a scheduler that held the zone once goes on for ever.
	anyHolder bool
	// lies: a start without an answer counts as not sent.
	lies bool
	// grants: every intent is granted and none is recorded.
	grants bool
	// boasts: reports claim twice what the upstream holds.
	boasts bool
	// confuses: the answers of starts go to the wrong request.
	confuses bool
	// hidesDeparture: reports don't say that the upstream departs.
	hidesDeparture bool
	// wrongTeam: requests arrive under another team.
	wrongTeam bool
	// overAllots: each zone may spend the whole limit.
	overAllots bool
	// cutsOff: entries don't send again what a scheduler gave back.
	cutsOff bool
}

// endless is a Holder that never stops.
type endless struct {
	e    *elector.Elector
	held unit.Epoch
}

// HoldsLease implements Holder.
func (h *endless) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	if epoch, ok := h.e.HoldsLease(now); ok {
		h.held = epoch
	}
	return h.held, h.held > 0
}

func (f flaw) holder(n *node) Holder {
	if f.anyHolder {
		return &endless{e: n.elect}
	}
	return n.elect
}

func (f flaw) reply(r dispatcher.StartReply, err error) (dispatcher.StartReply, error) {
	if f.lies && err != nil {
		return nil, &dispatcher.NotSentError{Cause: err}
	}
	if done, is := r.(dispatcher.Finished); is && f.confuses {
		done.Done.Answer = answerOf("another")
		return done, nil
	}
	return r, err
}

func (f flaw) command(c registrar.Command) registrar.Command {
	if _, is := c.(registrar.RecordIntent); is && f.grants {
		return registrar.TakeZone{AvailabilityZone: "a", Prior: 1 << 40}
	}
	return c
}

func (f flaw) result(c registrar.Command, result registrar.Result) registrar.Result {
	if _, is := c.(registrar.RecordIntent); !is || !f.grants {
		return result
	}
	return registrar.RequestRecorded{Granted: true}
}

func (f flaw) report(r dispatcher.Report) dispatcher.Report {
	if f.boasts {
		r.Holds = r.Holds.Add(r.Holds)
	}
	if f.hidesDeparture {
		r.Departing = false
	}
	return r
}

func (f flaw) request(r dispatcher.Request) dispatcher.Request {
	if f.wrongTeam {
		r.Team = "prelo"
	}
	return r
}
