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
func (x *index) put(slot int32, rank int64, amount vector) {
	for int(slot) >= len(x.nodes) {
		x.nodes = append(x.nodes, node{left: noSlot, right: noSlot, priority: hashSlot(uint32(len(x.nodes)))})
	}
	if n := &x.nodes[slot]; n.present && n.rank == rank {
		x.updateAt(x.root, slot, amount)
		return
	}
	x.remove(slot)
	n := &x.nodes[slot]
	n.left, n.right = noSlot, noSlot
	n.present = true
	n.rank, n.amount, n.subtreeMax = rank, amount, amount
	x.root = x.insertAt(x.root, slot)
}

// remove deletes the entry of a slot, if there is one.
func (x *index) remove(slot int32) {
	if int(slot) >= len(x.nodes) || !x.nodes[slot].present {
		return
	}
	x.root = x.removeAt(x.root, slot)
	x.nodes[slot].present = false
}

// less reports whether a comes before b: by rank, then by slot.
func (x *index) less(a, b int32) bool {
	ra, rb := x.nodes[a].rank, x.nodes[b].rank
	if ra != rb {
		return ra < rb
	}
	return a < b
}

func (x *index) updateAt(at, slot int32, amount vector) {
	switch {
	case at == slot:
		x.nodes[at].amount = amount
	case x.less(slot, at):
		x.updateAt(x.nodes[at].left, slot, amount)
	default:
		x.updateAt(x.nodes[at].right, slot, amount)
	}
	x.updateMax(at)
}

func (x *index) insertAt(at, slot int32) int32 {
	if at == noSlot {
		return slot
	}
	if x.nodes[slot].priority > x.nodes[at].priority {
		x.nodes[slot].left, x.nodes[slot].right = x.split(at, slot)
		x.updateMax(slot)
		return slot
	}
	if x.less(slot, at) {
		x.nodes[at].left = x.insertAt(x.nodes[at].left, slot)
	} else {
		x.nodes[at].right = x.insertAt(x.nodes[at].right, slot)
	}
	x.updateMax(at)
	return at
}

// split divides a subtree into the entries that come before and after slot.
func (x *index) split(at, slot int32) (before, after int32) {
	if at == noSlot {
		return noSlot, noSlot
	}
	if x.less(slot, at) {
		before, x.nodes[at].left = x.split(x.nodes[at].left, slot)
		x.updateMax(at)
		return before, at
	}
	x.nodes[at].right, after = x.split(x.nodes[at].right, slot)
	x.updateMax(at)
	return at, after
}

func (x *index) removeAt(at, slot int32) int32 {
	if at == slot {
		return x.merge(x.nodes[at].left, x.nodes[at].right)
	}
	if x.less(slot, at) {
		x.nodes[at].left = x.removeAt(x.nodes[at].left, slot)
	} else {
		x.nodes[at].right = x.removeAt(x.nodes[at].right, slot)
	}
	x.updateMax(at)
	return at
}

func (x *index) merge(a, b int32) int32 {
	switch {
	case a == noSlot:
		return b
	case b == noSlot:
		return a
	case x.nodes[a].priority > x.nodes[b].priority:
		x.nodes[a].right = x.merge(x.nodes[a].right, b)
		x.updateMax(a)
		return a
	default:
		x.nodes[b].left = x.merge(a, x.nodes[b].left)
		x.updateMax(b)
		return b
	}
}

// updateMax recomputes subtreeMax of a node from its children.
func (x *index) updateMax(at int32) {
	n := &x.nodes[at]
	n.subtreeMax = n.amount
	if n.left != noSlot {
		raiseTo(&n.subtreeMax, &x.nodes[n.left].subtreeMax)
	}
	if n.right != noSlot {
		raiseTo(&n.subtreeMax, &x.nodes[n.right].subtreeMax)
	}
}

// ascend calls visit for the entries that cover need, lowest rank first, until
// visit returns false.
func (x *index) ascend(need *vector, visit func(slot int32) bool) {
	x.ascendAt(x.root, need, visit)
}

// descend is like ascend, highest rank first.
func (x *index) descend(need *vector, visit func(slot int32) bool) {
	x.descendAt(x.root, need, visit)
}

func (x *index) ascendAt(at int32, need *vector, visit func(int32) bool) bool {
	if at == noSlot || !covers(&x.nodes[at].subtreeMax, need) {
		return true
	}
	n := &x.nodes[at]
	if !x.ascendAt(n.left, need, visit) {
		return false
	}
	if covers(&n.amount, need) && !visit(at) {
		return false
	}
	return x.ascendAt(n.right, need, visit)
}

func (x *index) descendAt(at int32, need *vector, visit func(int32) bool) bool {
	if at == noSlot || !covers(&x.nodes[at].subtreeMax, need) {
		return true
	}
	n := &x.nodes[at]
	if !x.descendAt(n.right, need, visit) {
		return false
	}
	if covers(&n.amount, need) && !visit(at) {
		return false
	}
	return x.descendAt(n.left, need, visit)
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
