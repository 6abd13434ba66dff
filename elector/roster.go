package elector

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"

	"github.com/chervilvane/chervilvane/unit"
)

// Roster lists the upstreams that a holder may start work on. It travels with
// renewals and promises, so that a successor knows where the holder's work can
// run: once it has heard from all of them, nothing is unknown any more.
//
// A holder starts work only on upstreams whose listing was confirmed by the
// log's leader or by every peer. So whatever it started, either the leader that
// grants the takeover or the successor's own promise has it listed.
type Roster struct {
	// Version counts the changes of one holder's roster.
	Version uint64
	// Whole says that nothing started before this holder's epoch runs on an
	// upstream that isn't listed.
	Whole bool
	// Upstreams is left out when the receiver has this version already.
	Upstreams []unit.Upstream
	Left      bool
	// Keeper is the life of the receiver that the list is meant for. A late
	// message to an earlier life holds an old list and is passed over.
	Keeper Keeper
}

// Keeper tells apart the lives of what keeps a roster: of a process, or of a
// leadership.
type Keeper clock.Millis

// Receipt says which version of a roster its receiver keeps.
type Receipt struct {
	Version uint64
	Keeper  Keeper
}

// heldRoster is the holder's side of a roster.
type heldRoster struct {
	Roster
	// since is the version that each upstream is listed from.
	since map[unit.Upstream]uint64
	// byLeader and byPeer are the latest receipts.
	byLeader heldReceipt
	byPeer   map[unit.Instance]heldReceipt
}

// heldReceipt is the receipt for the latest message that got one. A late
// receipt for an earlier message may be from an earlier life of the receiver.
type heldReceipt struct {
	Receipt
	sentAt clock.Millis
}

func (h heldReceipt) next(sentAt clock.Millis, r Receipt) heldReceipt {
	if sentAt < h.sentAt {
		return h
	}
	return heldReceipt{Receipt: r, sentAt: sentAt}
}

func newHeldRoster() heldRoster {
	return heldRoster{since: map[unit.Upstream]uint64{}, byPeer: map[unit.Instance]heldReceipt{}}
}

// set replaces the roster. It reports whether it changed.
func (h *heldRoster) set(upstreams []unit.Upstream, whole bool) bool {
	upstreams = slices.Sorted(slices.Values(upstreams))
	if whole == h.Whole && slices.Equal(upstreams, h.Upstreams) {
		return false
	}
	h.Version++
	h.Whole = whole
	h.Upstreams = upstreams
	since := make(map[unit.Upstream]uint64, len(upstreams))
	for _, u := range upstreams {
		since[u] = h.Version
		if from, listed := h.since[u]; listed {
			since[u] = from
		}
	}
	h.since = since
	return true
}

// confirmed returns the version that a successor surely learns of.
func (h *heldRoster) confirmed(peers []unit.Instance) uint64 {
	if len(peers) == 0 {
		return h.byLeader.Version
	}
	byPeers := h.Version
	for _, p := range peers {
		byPeers = min(byPeers, h.byPeer[p].Version)
	}
	return max(h.byLeader.Version, byPeers)
}

// lists reports whether work may be started on an upstream.
func (h *heldRoster) lists(u unit.Upstream, peers []unit.Instance) bool {
	from, listed := h.since[u]
	return listed && from <= h.confirmed(peers)
}

// message returns the roster for a receiver whose latest receipt is known.
func (h *heldRoster) message(last Receipt) Roster {
	r := Roster{Version: h.Version, Keeper: last.Keeper, Left: true}
	if last.Version != h.Version && last.Keeper != 0 {
		r.Whole, r.Upstreams, r.Left = h.Whole, h.Upstreams, false
	}
	return r
}

// keptRoster is a roster as its receiver keeps it, for one epoch.
type keptRoster struct {
	Roster
	epoch unit.Epoch
	known bool
}

// take stores what a message of the holder of epoch brought.
func (k *keptRoster) take(epoch unit.Epoch, r Roster, self Keeper) Receipt {
	if epoch < k.epoch {
		return Receipt{}
	}
	if epoch > k.epoch {
		*k = keptRoster{epoch: epoch}
	}
	if !r.Left && r.Keeper == self && (!k.known || r.Version > k.Version) {
		k.Roster, k.known = r, true
	}
	return Receipt{Version: k.Version, Keeper: self}
}

// PriorUpstreams is what a successor knows of where earlier schedulers' work can
// run.
type PriorUpstreams struct {
	// Known is false if work may run on upstreams that aren't listed.
	Known     bool
	Upstreams []unit.Upstream
}

// inherit joins what the leader and the own promise have of a holder's roster.
func inherit(prior unit.Epoch, fromLeader, own keptRoster) PriorUpstreams {
	if prior == 0 {
		return PriorUpstreams{Known: true}
	}
	for _, k := range []keptRoster{fromLeader, own} {
		if !k.known || k.epoch != prior || !k.Whole {
			return PriorUpstreams{}
		}
	}
	all := slices.Concat(fromLeader.Upstreams, own.Upstreams)
	slices.Sort(all)
	return PriorUpstreams{Known: true, Upstreams: slices.Compact(all)}
}
