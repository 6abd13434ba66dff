package elector

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"

	"github.com/chervilvane/chervilvane/unit"
)

// Roster lists the upstreams on which a holder may start tasks. Renew and Promise
// messages include it, so that a successor knows where the holder's tasks may
// run. Once all of these upstreams have reported to the successor, it knows all
// of these tasks.
//
// A holder starts tasks only on confirmed upstreams: the log's leader or every
// peer has acknowledged the version that lists them. So an upstream on which a
// task was started is listed in the roster of the leader that grants the
// takeover, or in the one that the successor received with a Promise.
type Roster struct {
	// Version counts the changes of a holder's roster.
	Version uint64
	// Whole is set if the list is complete: no task started before this
	// holder's epoch runs on an unlisted upstream.
	Whole bool
	// Upstreams is omitted, and Left is set, if the receiver has this version
	// already or hasn't sent a receipt yet.
	Upstreams []unit.Upstream
	Left      bool
	// Keeper identifies the incarnation of the receiver that the list is meant
	// for. A delayed message to an earlier incarnation has an old list and is
	// ignored.
	Keeper Keeper
}

// Keeper identifies the incarnation of a roster's receiver: the start time of a
// process, or the beginning of a leadership.
type Keeper clock.Millis

// Receipt acknowledges a version of a roster. Keeper identifies the receiver's
// incarnation.
type Receipt struct {
	Version uint64
	Keeper  Keeper
}

// holderRoster is the holder's own roster, with the receipts for it.
type holderRoster struct {
	Roster
	// listedSince is the version since which each upstream is listed.
	listedSince map[unit.Upstream]uint64
	// byLeader and byPeer are the latest receipts of the log's leader and of
	// each peer.
	byLeader latestReceipt
	byPeer   map[unit.Instance]latestReceipt
}

// latestReceipt is the receipt for the latest message that got one, and when
// that message was sent. A delayed receipt for an earlier message may come from
// an earlier incarnation of the receiver.
type latestReceipt struct {
	Receipt
	sentAt clock.Millis
}

// update returns the receipt for the later one of two messages.
func (l latestReceipt) update(sentAt clock.Millis, r Receipt) latestReceipt {
	if sentAt < l.sentAt {
		return l
	}
	return latestReceipt{Receipt: r, sentAt: sentAt}
}

func newHolderRoster() holderRoster {
	return holderRoster{listedSince: map[unit.Upstream]uint64{}, byPeer: map[unit.Instance]latestReceipt{}}
}

// set replaces the list and reports whether it changed.
func (h *holderRoster) set(upstreams []unit.Upstream, complete bool) bool {
	upstreams = slices.Sorted(slices.Values(upstreams))
	if complete == h.Whole && slices.Equal(upstreams, h.Upstreams) {
		return false
	}
	h.Version++
	h.Whole = complete
	h.Upstreams = upstreams
	since := make(map[unit.Upstream]uint64, len(upstreams))
	for _, u := range upstreams {
		since[u] = h.Version
		if version, listed := h.listedSince[u]; listed {
			since[u] = version
		}
	}
	h.listedSince = since
	return true
}

// confirmedVersion returns the latest version that a successor is certain to
// learn.
func (h *holderRoster) confirmedVersion(peers []unit.Instance) uint64 {
	if len(peers) == 0 {
		return h.byLeader.Version
	}
	byPeers := h.Version
	for _, p := range peers {
		byPeers = min(byPeers, h.byPeer[p].Version)
	}
	return max(h.byLeader.Version, byPeers)
}

// isConfirmed reports whether tasks may start on an upstream.
func (h *holderRoster) isConfirmed(u unit.Upstream, peers []unit.Instance) bool {
	version, listed := h.listedSince[u]
	return listed && version <= h.confirmedVersion(peers)
}

// messageFor returns the roster to send to a receiver whose latest receipt is
// last.
func (h *holderRoster) messageFor(last Receipt) Roster {
	r := Roster{Version: h.Version, Keeper: last.Keeper, Left: true}
	if last.Version != h.Version && last.Keeper != 0 {
		r.Whole, r.Upstreams, r.Left = h.Whole, h.Upstreams, false
	}
	return r
}

// receivedRoster is the roster that a receiver has from the holder of epoch.
type receivedRoster struct {
	Roster
	epoch unit.Epoch
	known bool
}

// store stores the roster in a message from the holder of epoch and returns the
// receipt for it.
func (r *receivedRoster) store(epoch unit.Epoch, roster Roster, self Keeper) Receipt {
	if epoch < r.epoch {
		return Receipt{}
	}
	if epoch > r.epoch {
		*r = receivedRoster{epoch: epoch}
	}
	if !roster.Left && roster.Keeper == self && (!r.known || roster.Version > r.Version) {
		r.Roster, r.known = roster, true
	}
	return Receipt{Version: r.Version, Keeper: self}
}

// PriorUpstreams lists the upstreams on which tasks of earlier schedulers may
// run, as a successor knows them.
type PriorUpstreams struct {
	// Complete is false if such tasks may also run on unlisted upstreams.
	Complete  bool
	Upstreams []unit.Upstream
}

// mergeRosters merges the leader's copy of the prior holder's roster with the
// copy that this instance received itself. Both must be known and complete.
func mergeRosters(prior unit.Epoch, fromLeader, own receivedRoster) PriorUpstreams {
	if prior == 0 {
		return PriorUpstreams{Complete: true}
	}
	for _, r := range []receivedRoster{fromLeader, own} {
		if !r.known || r.epoch != prior || !r.Whole {
			return PriorUpstreams{}
		}
	}
	all := slices.Concat(fromLeader.Upstreams, own.Upstreams)
	slices.Sort(all)
	return PriorUpstreams{Complete: true, Upstreams: slices.Compact(all)}
}
