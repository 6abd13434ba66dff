package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// attemptsBeforeMove is how often a zone without a scheduler is tried before
// work that may run elsewhere is moved. With the backoff it spans less than a
// second; a takeover takes longer.
const attemptsBeforeMove = 5

// isMovable reports whether a submission may go to another zone than its home:
// only under an id that this instance made, since a resend of a caller's id
// must find its first send.
func (r *Router) isMovable(home unit.AvailabilityZone, s Submission) bool {
	return s.IDGenerated && len(r.others(home)) > 0
}

// elsewhere returns the zones to try after an outcome at the home, if any.
func (r *Router) elsewhere(home unit.AvailabilityZone, s Submission, o dispatcher.Outcome) []unit.AvailabilityZone {
	if o == nil || !r.isMovable(home, s) || !mayMove(o) {
		return nil
	}
	others := r.others(home)
	// Each request has an order of its own, so that the work of a zone in
	// trouble is spread over the others.
	slices.SortFunc(others, func(a, b unit.AvailabilityZone) int {
		return cmp.Compare(xxhash.Sum64String(string(a)+s.ClientRequestID), xxhash.Sum64String(string(b)+s.ClientRequestID))
	})
	return others
}

// others returns the live zones but one.
func (r *Router) others(home unit.AvailabilityZone) []unit.AvailabilityZone {
	config, _ := r.c.State.Config()
	var found []unit.AvailabilityZone
	for _, z := range config.AvailabilityZones {
		if z.Name != home && !z.Lost {
			found = append(found, z.Name)
		}
	}
	return found
}

// mayMove reports whether an outcome only says that its zone can't serve now.
func mayMove(o dispatcher.Outcome) bool {
	notRun, is := o.(dispatcher.NotRun)
	if !is {
		return false
	}
	switch notRun.Reason {
	case dispatcher.ReasonNoScheduler, dispatcher.ReasonShuttingDown, dispatcher.ReasonOverloaded, dispatcher.ReasonTeamLimit:
		return true
	default:
		return false
	}
}

// rename gives a submission a new id at home in a zone. The old id surely
// never ran, and nobody but this instance knows it.
func (s Submission) rename(home unit.AvailabilityZone) Submission {
	s.ClientRequestID = string(home) + "." + uuid.NewString()
	s.Request.ID = unit.ScopedRequest(s.Request.Account, s.ClientRequestID)
	s.Request.Fresh = true
	return s
}
