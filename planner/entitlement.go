package planner

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// entitlements divide the jobs of each account into those that its weight entitles it to, in
// jobs per second, and its surplus. Each account has a token bucket.
//
// They are meant for an account that submits many times its usual rate: its surplus waits
// behind the entitled jobs of all accounts that have the same prospects, and is refused early
// while the domain can't run it in time. The shares hold back accounts by what they have
// running, which shows a burst only after it has been started.
type entitlements struct {
	// slack is how many jobs an account may submit at once beyond those of
	// entitlementWindow; 0 disables entitlements.
	slack   float64
	buckets map[unit.ClientAccount]*bucket
	surplus map[keeper.JobID]bool
}

// bucket is a token bucket, in jobs.
type bucket struct {
	tokens float64
	at     clock.Millis
}

// entitlementWindow is the time whose entitlement an account may use at once.
const entitlementWindow = 1 * clock.Second

func newEntitlements(slack float64) entitlements {
	return entitlements{slack: slack, buckets: map[unit.ClientAccount]*bucket{}, surplus: map[keeper.JobID]bool{}}
}

// refill returns the bucket of an account, with the tokens that it has at the given time. It
// returns nil for an account without a weight, whose jobs are all entitled.
func (e *entitlements) refill(account *keeper.Account, now clock.Millis) *bucket {
	if e.slack == 0 || account == nil || account.Weight <= 0 {
		return nil
	}
	most := account.Weight*float64(entitlementWindow)/float64(clock.Second) + e.slack
	b := e.buckets[account.Name]
	if b == nil {
		b = &bucket{tokens: most, at: now}
		e.buckets[account.Name] = b
	}
	elapsed := max(now-b.at, 0)
	b.tokens = min(b.tokens+account.Weight*float64(elapsed)/float64(clock.Second), most)
	b.at = max(b.at, now)
	return b
}

// exceeds reports whether another job of the account would be surplus.
func (e *entitlements) exceeds(account *keeper.Account, now clock.Millis) bool {
	b := e.refill(account, now)
	return b != nil && b.tokens < 1
}

// add counts an accepted job.
func (e *entitlements) add(account *keeper.Account, id keeper.JobID, now clock.Millis) {
	switch b := e.refill(account, now); {
	case b == nil:
	case b.tokens < 1:
		e.surplus[id] = true
	default:
		b.tokens--
	}
}

// remove forgets a job that has ended.
func (e *entitlements) remove(id keeper.JobID) { delete(e.surplus, id) }

// isSurplus reports whether a step comes after those of entitled jobs. Steps of
// the most urgent queue aren't held back, nor are long-running tasks, as for isOverShare.
func (p *Planner) isSurplus(s *step) bool {
	return p.entitlements.surplus[s.job.ID] && s.rank.priority > p.urgent.priority && !s.spec.LongRunning
}

// restoreEntitlements counts the jobs that former leaders accepted, in the order in which
// they did. The state keeps ended jobs for much longer than the window. A former leader whose
// clock was fast dates them in the future, which must not keep the buckets from being refilled.
func (p *Planner) restoreEntitlements() {
	jobs := slices.SortedFunc(maps.Values(p.state.Jobs), func(a, b *keeper.Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		account, _ := p.state.Config.AccountByName(j.Account)
		p.entitlements.add(account, j.ID, min(j.AcceptedAt, p.now))
		if j.Phase.IsFinal() {
			p.entitlements.remove(j.ID)
		}
	}
}

// retrySurplus is when a refused surplus job should be submitted again at the earliest.
const retrySurplus = 1 * clock.Second

// refusesSurplus reports whether a submission is refused since it is surplus and can't end
// in time: what waits already takes all capacity for longer than the job's objective.
func (p *Planner) refusesSurplus(account *keeper.Account, id keeper.JobID, queue keeper.Queue, submission *keeper.Submission) bool {
	if queue.Priority <= p.urgent.priority || !p.entitlements.exceeds(account, p.now) || submission.Repeat > 0 ||
		slices.ContainsFunc(submission.Steps, func(s keeper.Step) bool { return s.LongRunning }) {
		return false
	}
	j := &keeper.Job{ID: id, Account: account.Name, Queue: queue, Submission: *submission}
	chain := p.criticalPath(j, -1)
	delete(p.forecasts, id)
	slack := queue.TargetLatency + clock.Millis(queue.Stretch*float64(chain)) - chain
	return p.shares.drainTime > slack
}

// retrySpread is the time over which the callers of a burst are told to return.
const retrySpread = 4 * clock.Second

// spreadRetry returns when a refused job should be submitted again. It differs between jobs,
// so that the callers of a burst don't return together, and is the same for each attempt.
func spreadRetry(id keeper.JobID, least clock.Millis) clock.Millis {
	h := fnv.New32a()
	h.Write([]byte(id))
	return least + clock.Millis(h.Sum32())%retrySpread
}
