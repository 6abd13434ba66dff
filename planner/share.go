package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// shareHalfLife is the half-life of the moving average of what an account has running.
	// It is about as long as a gang runs, so that one gang alone doesn't put an account
	// over its share.
	shareHalfLife = 5 * clock.Second
	// shareSlackFactor is how many times its share an account may have running before its
	// steps come after those of others. Jobs arrive in bursts: without slack, an account
	// that happens to have a gang running would wait although it keeps to its share on
	// average.
	shareSlackFactor = 2
	// usableShare is the part of a domain that tasks can fill at least, since their sizes
	// leave gaps.
	usableShare = 0.7
	// defaultWeight is the weight of an account that has none in the configuration.
	defaultWeight = 1
)

// accountUse is an account's running and wanted resources, as dominant shares of the
// domain: the largest part of any one resource. wanted includes running.
type accountUse struct {
	account                 unit.ClientAccount
	weight, running, wanted float64
}

// shares are the accounts' shares of a domain, by weighted max-min fairness over their
// dominant shares (Ghodsi et al., 2011).
//
// They are meant for an account that submits more than its share while the domain is full.
// Its steps beyond its share wait behind those of others, book no capacity for gangs and
// preempt nothing; they get the capacity that no one else can use.
type shares struct {
	at clock.Millis
	// uses is in the order of the configuration.
	uses []accountUse
	// overShare holds the accounts that have more running than their share times
	// shareSlackFactor.
	overShare map[unit.ClientAccount]bool
	// drainTime is how long all capacity would take for the waiting tasks.
	drainTime clock.Millis
}

// isOverShare reports whether a step waits behind those of others because its account is
// over its share. Steps of the most urgent queue aren't held back, nor are long-running
// tasks: they have to run again soon, however full the domain is.
func (p *Planner) isOverShare(s *step) bool {
	return p.shares.overShare[s.job.Account] && s.rank.priority > p.urgent.priority && !s.spec.LongRunning
}

// updateShares updates the shares from the running and waiting tasks of the accounts.
func (p *Planner) updateShares() {
	capacity := p.totalCapacity()
	kept := math.Exp2(-float64(p.now-p.shares.at) / float64(shareHalfLife))
	former := map[unit.ClientAccount]float64{}
	for _, use := range p.shares.uses {
		former[use.account] = use.running
	}
	index := map[unit.ClientAccount]int{}
	uses := make([]accountUse, 0, len(p.state.Config.Accounts))
	for i, a := range p.state.Config.Accounts {
		running := dominantShare(p.state.Used[a.Name], capacity)
		use := accountUse{account: a.Name, weight: a.Weight, running: kept*former[a.Name] + (1-kept)*running}
		if use.weight <= 0 {
			use.weight = defaultWeight
		}
		use.wanted = max(use.running, running)
		index[a.Name] = i
		uses = append(uses, use)
	}
	drainTime := 0.
	for _, s := range p.waiting {
		if s.closed {
			continue
		}
		wanted := dominantShare(multiply(p.state.NeedOf(s.spec), p.pendingTasks(s)), capacity)
		drainTime += wanted * float64(p.predictStep(s))
		if i, ok := index[s.job.Account]; ok {
			uses[i].wanted += wanted
		}
	}
	p.shares = shares{at: p.now, uses: uses, overShare: accountsOverShare(uses), drainTime: clock.Millis(min(drainTime, float64(maxTime)))}
}

// totalCapacity returns the capacity of all upstreams that may get new tasks, or may get them
// once they have answered this leader. Without the latter, a new leader would take the first
// upstream that answers for the whole domain, and its moving averages would need tens of
// seconds to forget that.
func (p *Planner) totalCapacity() unit.Resources {
	var sum unit.Resources
	for _, u := range p.byID {
		awaited := !u.tokenAcked && !u.ended && !u.Draining && !u.deregistered && !p.IsEvacuated(u.Zone)
		if awaited || p.takesTasks(u) {
			sum = sum.Add(u.Capacity)
		}
	}
	return sum
}

// accountsOverShare returns the accounts that have more running than their share times
// shareSlackFactor.
func accountsOverShare(uses []accountUse) map[unit.ClientAccount]bool {
	var running float64
	for _, use := range uses {
		running += use.running
	}
	level := fairLevel(uses, max(running, usableShare))
	over := map[unit.ClientAccount]bool{}
	for _, use := range uses {
		if use.running > shareSlackFactor*level*use.weight {
			over[use.account] = true
		}
	}
	return over
}

// fairLevel returns the share per unit of weight when a total is divided among the
// accounts. An account that wants less than its share leaves the rest to the others. It
// returns +Inf if all get what they want.
func fairLevel(uses []accountUse, total float64) float64 {
	var weights float64
	for _, use := range uses {
		weights += use.weight
	}
	sorted := slices.Clone(uses)
	slices.SortStableFunc(sorted, func(a, b accountUse) int {
		return cmp.Compare(a.wanted*b.weight, b.wanted*a.weight)
	})
	for _, use := range sorted {
		if level := total / weights; use.wanted > level*use.weight {
			return level
		}
		total -= use.wanted
		weights -= use.weight
	}
	return math.Inf(1)
}

// dominantShare returns the largest share of any one resource of total that amount takes.
func dominantShare(amount, total unit.Resources) float64 {
	share := 0.
	a, all := amount.Vector(), total.Vector()
	for i := range a {
		if all[i] > 0 {
			share = max(share, float64(a[i])/float64(all[i]))
		}
	}
	return share
}
