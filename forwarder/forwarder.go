// Package forwarder forwards requests from any instance to the leader of the
// scheduling domain and returns the leader's replies.
//
// A Forwarder starts from a few seeds, which are instances that may know the
// leader, and learns the other instances from their responses. All requests are
// safe to resend. The Forwarder therefore retries a request, also at other
// instances, until the caller's context is done or until no leader has answered
// for so long that the caller should go to another instance. The reply then says
// whether the leader may have received the request: the code is Unavailable if it
// certainly did not, and Unknown otherwise. A leader's refusal counts only if no earlier
// attempt may have been executed: a former leader may have committed the request, and the
// configuration may have changed since then.
package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/pooler"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// attemptTimeout bounds one attempt at an instance that isn't known to be the
	// leader. An attempt at the leader may take until the caller's deadline: a
	// second attempt would only add load to a slow leader, the mesh ends calls on a
	// dead connection, and the responses to heartbeats name a new leader.
	attemptTimeout = 900 * clock.Millisecond
	// attemptDelay is the average wait between two attempts; it is jittered by half.
	attemptDelay = 40 * clock.Millisecond
	// retryAfter is when a caller may retry after no leader was found. An election
	// takes about that long, and soon after it the load balancer sends callers to
	// other instances.
	retryAfter = 1 * clock.Second
	// leaderUnreachableAfter is the time without an answer of a leader after which
	// requests fail immediately. An election after the failure of a leader takes 0.5
	// to 0.9 s, and a leader that is more than a second behind can't answer any
	// request in time.
	leaderUnreachableAfter = 1500 * clock.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	Self unit.Instance
	// Seeds are instances that may know the leader.
	Seeds []unit.Instance
	Mesh  instance.Caller
	Clock clock.Clock
	// Heartbeat is the heartbeat to send; From and BootTime are filled in.
	Heartbeat planner.Heartbeat
	// BootTime reads this instance's boot time clock; nil if it doesn't relay orders.
	BootTime func() clock.Millis
	Logger   logrus.FieldLogger
}

// Forwarder tracks the leader and forwards requests to it.
type Forwarder struct {
	cfg  Config
	done chan struct{}

	mu     sync.Mutex
	leader unit.Instance
	// term is the leader's term. leaderCtx is cancelled when another leader becomes
	// known or when the leader becomes unreachable.
	term            replicator.Term
	leaderCtx       context.Context
	cancelLeaderCtx context.CancelFunc
	// candidates are the seeds and all other instances that may be the leader. next
	// is the index of the one that was tried last.
	candidates      []unit.Instance
	next            int
	lastLeaderReply clock.Millis
	httpLimits      keeper.HTTPLimits
	// startedAt is when the forwarder was created. leaderUnreachable is true if no
	// leader has answered for leaderUnreachableAfter.
	startedAt         clock.Millis
	leaderUnreachable bool
	// awaiting is the set of instances that haven't answered a heartbeat yet.
	awaiting   map[unit.Instance]bool
	heartbeats pooler.Pool
	// leaderAnswered is true if the leader answered in the last round of heartbeats.
	// lastFullRound is when heartbeats were last sent to all candidates.
	leaderAnswered bool
	lastFullRound  clock.Millis
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{cfg: c, awaiting: map[unit.Instance]bool{}, candidates: slices.Clone(c.Seeds), next: rand.IntN(max(len(c.Seeds), 1)), done: make(chan struct{})}
	f.leaderCtx, f.cancelLeaderCtx = context.WithCancel(context.Background())
	f.startedAt = c.Clock.Now()
	return f
}

// cancelAttempts cancels all pending attempts at the leader. The caller must hold
// f.mu.
func (f *Forwarder) cancelAttempts() {
	f.cancelLeaderCtx()
	f.leaderCtx, f.cancelLeaderCtx = context.WithCancel(context.Background())
}

// SetSeeds replaces the seeds.
func (f *Forwarder) SetSeeds(list []unit.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Seeds = slices.Clone(list)
	for _, id := range list {
		if !slices.Contains(f.candidates, id) {
			f.candidates = append(f.candidates, id)
		}
	}
}

// LastLeaderReply returns when the leader last answered; 0 if never.
func (f *Forwarder) LastLeaderReply() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLeaderReply
}

// HTTPLimits returns the limits of the HTTP API from the latest heartbeat reply.
func (f *Forwarder) HTTPLimits() keeper.HTTPLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.httpLimits
}

// Leader returns the instance that is believed to be the leader; empty if unknown.
func (f *Forwarder) Leader() unit.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// Do forwards a request to the leader and retries until ctx is done or the leader
// counts as unreachable.
func (f *Forwarder) Do(ctx context.Context, r planner.Request) planner.Reply {
	body := planner.EncodeRequest(r)
	if len(body) > driver.MaxRequestBytes {
		return planner.Reply{Code: planner.Invalid, Message: "the request is too large for the log"}
	}
	maybeDelivered := false
	var lastErr error
	for ctx.Err() == nil {
		if f.isLeaderUnreachable() {
			lastErr = errLeaderUnreachable
			break
		}
		reply, err := f.attempt(ctx, body)
		if err == nil && maybeDelivered && isRefusal(r, reply.Code) {
			f.logDoubtfulRefusal(r, reply)
			return planner.Reply{Code: planner.Unknown, Message: "an earlier attempt may have been executed; a later one was refused: " + reply.Message}
		}
		if err == nil && reply.Code != planner.Unknown {
			return reply
		}
		if err == nil {
			err = errors.Newf("%s", reply.Message)
			maybeDelivered = true
		}
		maybeDelivered = maybeDelivered || isMaybeDelivered(err)
		lastErr = err
		_ = clock.Sleep(ctx, attemptDelay/2+rand.N(attemptDelay))
	}
	if maybeDelivered {
		return planner.Reply{Code: planner.Unknown, Message: errorText(lastErr)}
	}
	return planner.Reply{Code: planner.Unavailable, Message: errorText(lastErr), RetryAfter: retryAfter}
}

// isRefusal reports whether a reply with this code says that a request that changes the
// state was not executed.
func isRefusal(r planner.Request, code planner.Code) bool {
	switch r.(type) {
	case planner.Submit, planner.Cancel, planner.PutConfig, planner.ReportUpstream, planner.DeregisterUpstream, planner.Evacuate:
	default:
		return false
	}
	switch code {
	case planner.QueueNotFound, planner.Unauthorized, planner.Invalid, planner.Overloaded, planner.Unavailable:
		return true
	}
	return false
}

// logDoubtfulRefusal logs a refusal of a request that may have been executed before.
func (f *Forwarder) logDoubtfulRefusal(r planner.Request, reply planner.Reply) {
	if f.cfg.Logger == nil {
		return
	}
	fields := logrus.Fields{"Code": reply.Code.String(), "Reason": reply.Message}
	switch r := r.(type) {
	case planner.Submit:
		fields[logger.FieldRequest] = r.ID
	case planner.Cancel:
		fields[logger.FieldRequest] = r.ID
	}
	f.cfg.Logger.WithFields(fields).Info("leader refused a request that a former leader may have executed")
}

// isMaybeDelivered reports whether the request of a failed attempt may have been
// executed. An error of the leader's handler and a response that can't be decoded count
// as well: they don't say how far the handler got.
func isMaybeDelivered(err error) bool {
	call := new(instance.CallError)
	if errors.As(err, &call) {
		return call.MaybeDelivered
	}
	return !errors.Is(err, errNoLeader)
}

// errorText returns the message of the last attempt's error; err is nil if there was
// no attempt.
func errorText(err error) string {
	if err == nil {
		return "the time was over before a try"
	}
	return err.Error()
}

// errNoLeader is the error of an attempt that reached no leader.
var errNoLeader = errors.New("no instance holds the domain")

// errLeaderUnreachable is the error of a request that failed before its deadline
// because no leader has answered for leaderUnreachableAfter.
var errLeaderUnreachable = errors.New("this instance finds no holder of the domain")

// errLeaderChanged is the cancellation cause of an attempt whose leaderCtx was
// cancelled.
var errLeaderChanged = errors.New("another instance holds the domain now")

// attempt sends a request to the leader or, if none is known, to the next candidate.
// It is cancelled when leaderCtx is.
func (f *Forwarder) attempt(ctx context.Context, body []byte) (planner.Reply, error) {
	to, leaderCtx, isLeader := f.pick()
	if to == "" {
		return planner.Reply{}, errNoLeader
	}
	if !isLeader {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, attemptTimeout.Duration())
		defer end()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(leaderCtx, func() { cancel(errLeaderChanged) })
	defer stop()
	return f.call(ctx, to, body)
}

// call sends a request to one instance and learns the leader and the candidates from
// its response.
func (f *Forwarder) call(ctx context.Context, to unit.Instance, body []byte) (planner.Reply, error) {
	responseBody, err := f.cfg.Mesh.Call(ctx, to, driver.MethodRequest, body)
	if err != nil {
		timedOut := errors.Is(err, context.DeadlineExceeded) && isMaybeDelivered(err)
		if !timedOut && !errors.Is(context.Cause(ctx), errLeaderChanged) {
			f.forgetLeader(to)
		}
		return planner.Reply{}, err
	}
	var resp driver.Response
	if err := encoder.Unmarshal(responseBody, &resp); err != nil {
		return planner.Reply{}, err
	}
	f.learn(to, resp)
	if resp.NotLeader {
		return planner.Reply{}, errNoLeader
	}
	return resp.Reply, nil
}

// pick returns the leader or, if none is known, the next candidate, which is empty if
// there is none. It also returns the current leaderCtx.
func (f *Forwarder) pick() (to unit.Instance, leaderCtx context.Context, isLeader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader, f.leaderCtx, true
	}
	if len(f.candidates) == 0 {
		return "", f.leaderCtx, false
	}
	f.next = (f.next + 1) % len(f.candidates)
	return f.candidates[f.next], f.leaderCtx, false
}

// forgetLeader forgets the leader if it is the given instance.
func (f *Forwarder) forgetLeader(id unit.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == id {
		f.leader = ""
	}
}

// learn updates the leader, the term and the candidates from a response.
func (f *Forwarder) learn(from unit.Instance, resp driver.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if resp.Term < f.term {
		// A partitioned instance still names a former leader.
		return
	}
	f.learnMembers(resp.Members)
	leader := resp.Leader
	if !resp.NotLeader {
		leader = from
		f.lastLeaderReply = f.cfg.Clock.Now()
		if f.leaderUnreachable && f.cfg.Logger != nil {
			f.cfg.Logger.WithField("Holder", from).Info("leader is reachable again")
		}
		f.leaderUnreachable = false
	}
	if leader == "" || resp.NotLeader && leader == from || leader == f.leader && resp.Term == f.term {
		return
	}
	if f.leader != leader {
		if f.cfg.Logger != nil {
			f.cfg.Logger.WithFields(logrus.Fields{"Holder": leader, "Term": resp.Term, "From": from}).Info("found the leader")
		}
		f.cancelAttempts()
	}
	f.leader, f.term = leader, resp.Term
}

// learnMembers sets the candidates to the given members and the seeds. The seeds are
// kept because all members of a stale response may have left.
func (f *Forwarder) learnMembers(members []unit.Instance) {
	if len(members) == 0 {
		return
	}
	f.candidates = slices.Clone(members)
	for _, seed := range f.cfg.Seeds {
		if !slices.Contains(f.candidates, seed) {
			f.candidates = append(f.candidates, seed)
		}
	}
}
