package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// retriesBeforeMove is the number of retries at a zone without a scheduler
// before a movable request is sent to another zone. With the backoff they take
// less than a second; a takeover takes longer.
const retriesBeforeMove = 5

// isMovable reports whether a submission may run in another zone than its home.
// It may only under an id that this instance generated: a resend of an id that
// the caller chose must reach the scheduler of the first send.
func (r *Router) isMovable(home unit.AvailabilityZone, s Submission) bool {
	return s.IDGenerated && len(r.otherZones(home)) > 0
}

// fallbackZones returns the zones to try after the outcome at the home zone; nil
// if the request must not move.
func (r *Router) fallbackZones(home unit.AvailabilityZone, s Submission, o dispatcher.Outcome) []unit.AvailabilityZone {
	if o == nil || !r.isMovable(home, s) || !isZoneUnavailable(o) {
		return nil
	}
	others := r.otherZones(home)
	// The order depends on the request, so that the requests of a failing zone
	// are spread over the other zones.
	slices.SortFunc(others, func(a, b unit.AvailabilityZone) int {
		return cmp.Compare(xxhash.Sum64String(string(a)+s.ClientRequestID), xxhash.Sum64String(string(b)+s.ClientRequestID))
	})
	return others
}

// otherZones returns the zones except home that aren't declared lost.
func (r *Router) otherZones(home unit.AvailabilityZone) []unit.AvailabilityZone {
	config, _ := r.config.State.Config()
	var found []unit.AvailabilityZone
	for _, z := range config.AvailabilityZones {
		if z.Name != home && !z.Lost {
			found = append(found, z.Name)
		}
	}
	return found
}

// isZoneUnavailable reports whether an outcome means that the zone can't run the
// request now, while another zone may.
func isZoneUnavailable(o dispatcher.Outcome) bool {
	notRun, isNotRun := o.(dispatcher.NotRun)
	if !isNotRun {
		return false
	}
	switch notRun.Reason {
	case dispatcher.ReasonNoScheduler, dispatcher.ReasonShuttingDown, dispatcher.ReasonOverloaded, dispatcher.ReasonTeamLimit:
		return true
	default:
		return false
	}
}

// withNewID returns the submission with a new id whose home is the given zone.
// The request never ran under the old id, which only this instance knows.
func (s Submission) withNewID(home unit.AvailabilityZone) Submission {
	s.ClientRequestID = string(home) + "." + uuid.NewString()
	s.Request.ID = unit.ScopedRequest(s.Request.Account, s.ClientRequestID)
	s.Request.Fresh = true
	return s
}
