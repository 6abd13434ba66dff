package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// vector is an amount by dimension, as unit.Resources.Vector gives it.
type vector = [unit.Dimensions]int64

const none = int32(-1)

// index keeps entries in the order of a rank and finds those whose amount
// covers a need. It is a treap whose nodes know the largest amount below them
// in each dimension, so a search leaves out the parts that can't fit: its cost
// grows with the logarithm of the entries, unless many of them have enough of
// one dimension and too little of another.
type index struct {
	nodes []node
	root  int32
}

type node struct {
	left, right int32
	priority    uint32
	present     bool
	rank        int64
	own         vector
	most        vector
}

func newIndex() index { return index{root: none} }

// put inserts or changes the entry of a slot.
func (x *index) put(slot int32, rank int64, own vector) {
	for int(slot) >= len(x.nodes) {
		x.nodes = append(x.nodes, node{left: none, right: none, priority: scramble(uint32(len(x.nodes)))})
	}
	if n := &x.nodes[slot]; n.present && n.rank == rank {
		x.update(x.root, slot, own)
		return
	}
	x.remove(slot)
	n := &x.nodes[slot]
	n.left, n.right = none, none
	n.present = true
	n.rank, n.own, n.most = rank, own, own
	x.root = x.insert(x.root, slot)
}

// remove takes the entry of a slot out, if there is one.
func (x *index) remove(slot int32) {
	if int(slot) >= len(x.nodes) || !x.nodes[slot].present {
		return
	}
	x.root = x.cut(x.root, slot)
	x.nodes[slot].present = false
}

// less orders by rank, then by slot.
func (x *index) less(a, b int32) bool {
	ra, rb := x.nodes[a].rank, x.nodes[b].rank
	if ra != rb {
		return ra < rb
	}
	return a < b
}

func (x *index) update(at, slot int32, own vector) {
	switch {
	case at == slot:
		x.nodes[at].own = own
	case x.less(slot, at):
		x.update(x.nodes[at].left, slot, own)
	default:
		x.update(x.nodes[at].right, slot, own)
	}
	x.pull(at)
}

func (x *index) insert(at, slot int32) int32 {
	if at == none {
		return slot
	}
	if x.nodes[slot].priority > x.nodes[at].priority {
		x.nodes[slot].left, x.nodes[slot].right = x.split(at, slot)
		x.pull(slot)
		return slot
	}
	if x.less(slot, at) {
		x.nodes[at].left = x.insert(x.nodes[at].left, slot)
	} else {
		x.nodes[at].right = x.insert(x.nodes[at].right, slot)
	}
	x.pull(at)
	return at
}

// split divides a subtree into the entries before and after slot.
func (x *index) split(at, slot int32) (before, after int32) {
	if at == none {
		return none, none
	}
	if x.less(slot, at) {
		before, x.nodes[at].left = x.split(x.nodes[at].left, slot)
		x.pull(at)
		return before, at
	}
	x.nodes[at].right, after = x.split(x.nodes[at].right, slot)
	x.pull(at)
	return at, after
}

func (x *index) cut(at, slot int32) int32 {
	if at == slot {
		return x.merge(x.nodes[at].left, x.nodes[at].right)
	}
	if x.less(slot, at) {
		x.nodes[at].left = x.cut(x.nodes[at].left, slot)
	} else {
		x.nodes[at].right = x.cut(x.nodes[at].right, slot)
	}
	x.pull(at)
	return at
}

func (x *index) merge(a, b int32) int32 {
	switch {
	case a == none:
		return b
	case b == none:
		return a
	case x.nodes[a].priority > x.nodes[b].priority:
		x.nodes[a].right = x.merge(x.nodes[a].right, b)
		x.pull(a)
		return a
	default:
		x.nodes[b].left = x.merge(a, x.nodes[b].left)
		x.pull(b)
		return b
	}
}

// pull recomputes what a node knows of its subtree.
func (x *index) pull(at int32) {
	n := &x.nodes[at]
	n.most = n.own
	if n.left != none {
		raise(&n.most, &x.nodes[n.left].most)
	}
	if n.right != none {
		raise(&n.most, &x.nodes[n.right].most)
	}
}

// ascend visits the entries that cover need, lowest rank first, until visit
// returns false.
func (x *index) ascend(need *vector, visit func(slot int32) bool) {
	x.up(x.root, need, visit)
}

// descend visits them highest rank first.
func (x *index) descend(need *vector, visit func(slot int32) bool) {
	x.down(x.root, need, visit)
}

func (x *index) up(at int32, need *vector, visit func(int32) bool) bool {
	if at == none || !covers(&x.nodes[at].most, need) {
		return true
	}
	n := &x.nodes[at]
	if !x.up(n.left, need, visit) {
		return false
	}
	if covers(&n.own, need) && !visit(at) {
		return false
	}
	return x.up(n.right, need, visit)
}

func (x *index) down(at int32, need *vector, visit func(int32) bool) bool {
	if at == none || !covers(&x.nodes[at].most, need) {
		return true
	}
	n := &x.nodes[at]
	if !x.down(n.right, need, visit) {
		return false
	}
	if covers(&n.own, need) && !visit(at) {
		return false
	}
	return x.down(n.left, need, visit)
}

func covers(have, need *vector) bool {
	return have[0] >= need[0] && have[1] >= need[1] && have[2] >= need[2] && have[3] >= need[3] && have[4] >= need[4]
}

func raise(to, by *vector) {
	for d := range to {
		to[d] = max(to[d], by[d])
	}
}

// scramble gives the slots priorities that look random and are the same in
// each run.
func scramble(n uint32) uint32 {
	n = (n + 0x9e3779b9) * 0x85ebca6b
	n ^= n >> 13
	n *= 0xc2b2ae35
	return n ^ n>>16
}
