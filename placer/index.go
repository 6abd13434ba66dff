package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// vector is an amount by dimension, as unit.Resources.Vector returns it.
type vector = [unit.Dimensions]int64

// noSlot marks a missing child or an empty tree.
const noSlot = int32(-1)

// index keeps entries in the order of a rank and finds those whose amount
// covers a need. It is a treap in which each node stores the largest amount of
// its subtree in each dimension, so that a search skips the subtrees that can't
// cover the need. A search takes logarithmic time, unless many entries have
// enough of one dimension and too little of another.
//
// An entry is named by its slot, which is also its index in nodes.
type index struct {
	nodes []node
	root  int32
}

type node struct {
	left, right int32
	priority    uint32
	present     bool
	rank        int64
	amount      vector
	subtreeMax  vector
}

func newIndex() index { return index{root: noSlot} }

// put inserts or replaces the entry of a slot.
func (ix *index) put(slot int32, rank int64, amount vector) {
	for int(slot) >= len(ix.nodes) {
		ix.nodes = append(ix.nodes, node{left: noSlot, right: noSlot, priority: hashSlot(uint32(len(ix.nodes)))})
	}
	if n := &ix.nodes[slot]; n.present && n.rank == rank {
		ix.updateAt(ix.root, slot, amount)
		return
	}
	ix.remove(slot)
	n := &ix.nodes[slot]
	n.left, n.right = noSlot, noSlot
	n.present = true
	n.rank, n.amount, n.subtreeMax = rank, amount, amount
	ix.root = ix.insertAt(ix.root, slot)
}

// remove deletes the entry of a slot, if there is one.
func (ix *index) remove(slot int32) {
	if int(slot) >= len(ix.nodes) || !ix.nodes[slot].present {
		return
	}
	ix.root = ix.removeAt(ix.root, slot)
	ix.nodes[slot].present = false
}

// less reports whether a comes before b: by rank, then by slot.
func (ix *index) less(a, b int32) bool {
	ra, rb := ix.nodes[a].rank, ix.nodes[b].rank
	if ra != rb {
		return ra < rb
	}
	return a < b
}

func (ix *index) updateAt(at, slot int32, amount vector) {
	switch {
	case at == slot:
		ix.nodes[at].amount = amount
	case ix.less(slot, at):
		ix.updateAt(ix.nodes[at].left, slot, amount)
	default:
		ix.updateAt(ix.nodes[at].right, slot, amount)
	}
	ix.updateMax(at)
}

func (ix *index) insertAt(at, slot int32) int32 {
	if at == noSlot {
		return slot
	}
	if ix.nodes[slot].priority > ix.nodes[at].priority {
		ix.nodes[slot].left, ix.nodes[slot].right = ix.split(at, slot)
		ix.updateMax(slot)
		return slot
	}
	if ix.less(slot, at) {
		ix.nodes[at].left = ix.insertAt(ix.nodes[at].left, slot)
	} else {
		ix.nodes[at].right = ix.insertAt(ix.nodes[at].right, slot)
	}
	ix.updateMax(at)
	return at
}

// split divides a subtree into the entries that come before and after slot.
func (ix *index) split(at, slot int32) (before, after int32) {
	if at == noSlot {
		return noSlot, noSlot
	}
	if ix.less(slot, at) {
		before, ix.nodes[at].left = ix.split(ix.nodes[at].left, slot)
		ix.updateMax(at)
		return before, at
	}
	ix.nodes[at].right, after = ix.split(ix.nodes[at].right, slot)
	ix.updateMax(at)
	return at, after
}

func (ix *index) removeAt(at, slot int32) int32 {
	if at == slot {
		return ix.merge(ix.nodes[at].left, ix.nodes[at].right)
	}
	if ix.less(slot, at) {
		ix.nodes[at].left = ix.removeAt(ix.nodes[at].left, slot)
	} else {
		ix.nodes[at].right = ix.removeAt(ix.nodes[at].right, slot)
	}
	ix.updateMax(at)
	return at
}

func (ix *index) merge(a, b int32) int32 {
	switch {
	case a == noSlot:
		return b
	case b == noSlot:
		return a
	case ix.nodes[a].priority > ix.nodes[b].priority:
		ix.nodes[a].right = ix.merge(ix.nodes[a].right, b)
		ix.updateMax(a)
		return a
	default:
		ix.nodes[b].left = ix.merge(a, ix.nodes[b].left)
		ix.updateMax(b)
		return b
	}
}

// updateMax recomputes subtreeMax of a node from its children.
func (ix *index) updateMax(at int32) {
	n := &ix.nodes[at]
	n.subtreeMax = n.amount
	if n.left != noSlot {
		raiseTo(&n.subtreeMax, &ix.nodes[n.left].subtreeMax)
	}
	if n.right != noSlot {
		raiseTo(&n.subtreeMax, &ix.nodes[n.right].subtreeMax)
	}
}

// ascend calls visit for the entries that cover need, lowest rank first, until
// visit returns false.
func (ix *index) ascend(need *vector, visit func(slot int32) bool) {
	ix.ascendAt(ix.root, need, visit)
}

// descend is like ascend, highest rank first.
func (ix *index) descend(need *vector, visit func(slot int32) bool) {
	ix.descendAt(ix.root, need, visit)
}

func (ix *index) ascendAt(at int32, need *vector, visit func(int32) bool) bool {
	if at == noSlot || !covers(&ix.nodes[at].subtreeMax, need) {
		return true
	}
	n := &ix.nodes[at]
	if !ix.ascendAt(n.left, need, visit) {
		return false
	}
	if covers(&n.amount, need) && !visit(at) {
		return false
	}
	return ix.ascendAt(n.right, need, visit)
}

func (ix *index) descendAt(at int32, need *vector, visit func(int32) bool) bool {
	if at == noSlot || !covers(&ix.nodes[at].subtreeMax, need) {
		return true
	}
	n := &ix.nodes[at]
	if !ix.descendAt(n.right, need, visit) {
		return false
	}
	if covers(&n.amount, need) && !visit(at) {
		return false
	}
	return ix.descendAt(n.left, need, visit)
}

func covers(have, need *vector) bool {
	return have[0] >= need[0] && have[1] >= need[1] && have[2] >= need[2] && have[3] >= need[3] && have[4] >= need[4]
}

func raiseTo(to, by *vector) {
	for d := range to {
		to[d] = max(to[d], by[d])
	}
}

// hashSlot returns the treap priority of a slot. It is a hash instead of a random
// number, so that placement is deterministic.
func hashSlot(n uint32) uint32 {
	n = (n + 0x9e3779b9) * 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
