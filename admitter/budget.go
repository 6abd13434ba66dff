package admitter

import "github.com/chervilvane/chervilvane/unit"

// Holder is on whose account memory is taken: a known account, a remote address, or one for all
// unknown clients. No holder takes more than three times what it leaves free, so that it gets
// three quarters at most, and others always get some (the dynamic threshold of Choudhury and
// Hahne, 1998, as for the backlog of accounts).
type Holder string

const (
	// holderFactor is how many times what is left free a holder may use.
	holderFactor = 3
	// smallBytes is the part of a request that counts as small. Bodies are 1 to 5 KB usually.
	smallBytes = 16 << 10
)

// Budget divides an amount of memory among the requests in progress.
//
// What a request takes beyond smallBytes is large. All large parts together get three quarters of
// the budget, so that ordinary requests find room beside any number of large bodies.
type Budget struct {
	small, large pot
	total        unit.Bytes
}

// pot is an amount that is divided among holders.
type pot struct {
	used     unit.Bytes
	byHolder map[Holder]unit.Bytes
}

// Request is what one request holds of a budget.
type Request struct {
	Holder       Holder
	small, large unit.Bytes
}

// NewBudget returns a budget of this many bytes.
func NewBudget(total unit.Bytes) *Budget {
	return &Budget{small: pot{byHolder: map[Holder]unit.Bytes{}}, large: pot{byHolder: map[Holder]unit.Bytes{}}, total: total}
}

// Used returns how much is in use.
func (b *Budget) Used() unit.Bytes { return b.small.used + b.large.used }

// largeTotal bounds all large parts.
func (b *Budget) largeTotal() unit.Bytes { return b.total / 4 * 3 }

// Acquire takes n bytes more for a request. It returns false and takes nothing if they would
// exceed the budget or the holder's part.
func (b *Budget) Acquire(r *Request, n unit.Bytes) bool {
	small, large := split(r, n)
	if !b.has(r.Holder, small, large) {
		return false
	}
	b.small.add(r.Holder, small)
	b.large.add(r.Holder, large)
	r.small += small
	r.large += large
	return true
}

// Fits reports whether Acquire would succeed.
func (b *Budget) Fits(r *Request, n unit.Bytes) bool {
	small, large := split(r, n)
	return b.has(r.Holder, small, large)
}

// split divides n bytes more for a request into the small and the large part.
func split(r *Request, n unit.Bytes) (small, large unit.Bytes) {
	small = min(n, max(smallBytes-r.small, 0))
	return small, n - small
}

func (b *Budget) has(h Holder, small, large unit.Bytes) bool {
	free := b.total - b.Used() - small - large
	if free < 0 {
		return false
	}
	if small > 0 && b.small.byHolder[h]+small > holderFactor*free {
		return false
	}
	return large == 0 || b.large.byHolder[h]+large <= holderFactor*(b.largeTotal()-b.large.used-large)
}

// Remaining returns how much more a request could take if it were the only one.
func (b *Budget) Remaining(r *Request) unit.Bytes {
	return max(b.largeTotal()*holderFactor/(holderFactor+1)-r.large-smallBytes, 0)
}

// Release gives back all that a request holds.
func (b *Budget) Release(r *Request) {
	b.small.add(r.Holder, -r.small)
	b.large.add(r.Holder, -r.large)
	r.small, r.large = 0, 0
}

func (p *pot) add(h Holder, n unit.Bytes) {
	if n == 0 {
		return
	}
	p.used += n
	p.byHolder[h] += n
	if p.byHolder[h] == 0 {
		delete(p.byHolder, h)
	}
}

// Total returns what the request holds.
func (r *Request) Total() unit.Bytes { return r.small + r.large }
