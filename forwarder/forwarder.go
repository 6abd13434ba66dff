// Package forwarder brings requests from any instance to the holder of the
// domain and its answers back.
//
// A Forwarder starts from a few contacts, instances that may know the holder,
// and learns the others from their answers. All requests are safe to resend, so
// it tries again, at another instance too, until the caller's time is over or no
// holder has answered for so long that the caller is better served elsewhere. Its
// last word then says whether the holder may have got the request: Unavailable
// only if it surely didn't.
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
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/pooler"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// tryTimeout bounds one try at an instance that isn't known to hold the
	// domain. The holder itself is given the whole time: a second try would only
	// add to what it is behind with, the mesh ends calls on a dead connection,
	// and the signs of life tell of another holder.
	tryTimeout = 900 * clock.Millisecond
	// tryPause is the wait between two tries, jittered.
	tryPause = 40 * clock.Millisecond
	// retryAfter is when a caller may come back after no holder was found: an
	// election takes about that long, and the balancer sends callers elsewhere
	// soon after.
	retryAfter = 1 * clock.Second
	// lostAfter is after what time without an answer of a holder requests are
	// refused at once: an election after a holder's death takes 0.5 to 0.9 s, and
	// a holder that is over a second behind serves nobody in time.
	lostAfter = 1500 * clock.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	Self unit.Instance
	// Seeds are instances that may know the holder.
	Seeds []unit.Instance
	Mesh  instance.Caller
	Clock clock.Clock
	// Heartbeat is the sign of life for the holder, without From and BootTime.
	Heartbeat planner.Heartbeat
	// BootTime tells this instance's steady clock; nil if it relays nothing.
	BootTime func() clock.Millis
	Logger   logrus.FieldLogger
}

// Forwarder knows the way to the holder.
type Forwarder struct {
	cfg  Config
	done chan struct{}

	mu     sync.Mutex
	holder unit.Instance
	// term is that of the holder; epoch ends when there is another one.
	term     replicator.Term
	epoch    context.Context
	endEpoch context.CancelFunc
	// known are all instances that may hold the domain.
	known  []unit.Instance
	next   int
	reach  clock.Millis
	bounds keeper.HTTPLimits
	// since is when this instance began to look for the holder; lost: no holder
	// has answered for too long.
	since clock.Millis
	lost  bool
	// attending are the instances whose answers to a sign of life are awaited.
	attending map[unit.Instance]bool
	signs     pooler.Pool
	// found: the holder answered in the last round. othersAt is when the others
	// were attended last.
	found    bool
	othersAt clock.Millis
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	f := &Forwarder{cfg: c, attending: map[unit.Instance]bool{}, known: slices.Clone(c.Seeds), next: rand.IntN(max(len(c.Seeds), 1)), done: make(chan struct{})}
	f.epoch, f.endEpoch = context.WithCancel(context.Background())
	f.since = c.Clock.Now()
	return f
}

// renewEpoch ends all tries under way. It is called with the lock held.
func (f *Forwarder) renewEpoch() {
	f.endEpoch()
	f.epoch, f.endEpoch = context.WithCancel(context.Background())
}

// SetSeeds replaces the contacts.
func (f *Forwarder) SetSeeds(list []unit.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg.Seeds = slices.Clone(list)
	for _, c := range list {
		if !slices.Contains(f.known, c) {
			f.known = append(f.known, c)
		}
	}
}

// LastContact returns when the holder last answered; 0 if never.
func (f *Forwarder) LastContact() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reach
}

// HTTPLimits returns the limits of the HTTP interface, as last heard.
func (f *Forwarder) HTTPLimits() keeper.HTTPLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bounds
}

// Leader returns who is believed to hold the domain; empty if unknown.
func (f *Forwarder) Leader() unit.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder
}

// Do brings a request to the holder, trying until ctx ends.
func (f *Forwarder) Do(ctx context.Context, r planner.Request) planner.Reply {
	body := planner.EncodeRequest(r)
	doubt := false
	var last error
	for ctx.Err() == nil {
		if f.isLost() {
			last = errLost
			break
		}
		reply, err := f.try(ctx, body)
		if err == nil && reply.Code != planner.Unknown {
			return reply
		}
		if err == nil {
			err = errors.Newf("%s", reply.Message)
			doubt = true
		}
		doubt = doubt || isDelivered(err)
		last = err
		_ = clock.Sleep(ctx, tryPause/2+rand.N(tryPause))
	}
	if doubt {
		return planner.Reply{Code: planner.Unknown, Message: text(last)}
	}
	return planner.Reply{Code: planner.Unavailable, Message: text(last), RetryAfter: retryAfter}
}

// isDelivered reports whether a call that failed may have been carried out: also if
// the handler itself failed, which doesn't tell how far it came.
func isDelivered(err error) bool {
	call := new(instance.CallError)
	return errors.As(err, &call) && call.MaybeDelivered || errors.As(err, new(*instance.RemoteError))
}

func text(err error) string {
	if err == nil {
		return "the time was over before a try"
	}
	return err.Error()
}

// errNoHolder is a try at an instance that doesn't hold the domain.
var errNoHolder = errors.New("no instance holds the domain")

// errLost is why a request was given up before its time was over.
var errLost = errors.New("this instance finds no holder of the domain")

// errHolderChanged ends a try whose holder was replaced meanwhile.
var errHolderChanged = errors.New("another instance holds the domain now")

// try asks the holder, or the next instance that may know it. It ends when
// another holder becomes known.
func (f *Forwarder) try(ctx context.Context, body []byte) (planner.Reply, error) {
	to, epoch, holds := f.pick()
	if to == "" {
		return planner.Reply{}, errNoHolder
	}
	if !holds {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, tryTimeout.Duration())
		defer end()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(epoch, func() { cancel(errHolderChanged) })
	defer stop()
	return f.call(ctx, to, body)
}

// call asks one instance and learns from its answer.
func (f *Forwarder) call(ctx context.Context, to unit.Instance, body []byte) (planner.Reply, error) {
	answer, err := f.cfg.Mesh.Call(ctx, to, driver.MethodRequest, body)
	if err != nil {
		late := errors.Is(err, context.DeadlineExceeded) && isDelivered(err)
		if !late && !errors.Is(context.Cause(ctx), errHolderChanged) {
			f.forget(to)
		}
		return planner.Reply{}, err
	}
	var e driver.Response
	if err := encoder.Unmarshal(answer, &e); err != nil {
		return planner.Reply{}, err
	}
	f.learn(to, e)
	if e.NotLeader {
		return planner.Reply{}, errNoHolder
	}
	return e.Reply, nil
}

// pick returns the holder, or the next instance that may know it, and what ends
// when another holder becomes known.
func (f *Forwarder) pick() (to unit.Instance, epoch context.Context, holds bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder != "" {
		return f.holder, f.epoch, true
	}
	if len(f.known) == 0 {
		return "", f.epoch, false
	}
	f.next = (f.next + 1) % len(f.known)
	return f.known[f.next], f.epoch, false
}

func (f *Forwarder) forget(id unit.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder == id {
		f.holder = ""
	}
}

func (f *Forwarder) learn(from unit.Instance, e driver.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Term < f.term {
		// An instance that was cut off speaks of a former holder.
		return
	}
	f.learnMembers(e.Members)
	holder := e.Leader
	if !e.NotLeader {
		holder = from
		f.reach = f.cfg.Clock.Now()
		if f.lost && f.cfg.Logger != nil {
			f.cfg.Logger.WithField("Holder", from).Info("reached the holder of the domain again")
		}
		f.lost = false
	}
	if holder == "" || e.NotLeader && holder == from || holder == f.holder && e.Term == f.term {
		return
	}
	if f.holder != holder {
		if f.cfg.Logger != nil {
			f.cfg.Logger.WithFields(logrus.Fields{"Holder": holder, "Term": e.Term, "From": from}).Info("found the holder of the domain")
		}
		f.renewEpoch()
	}
	f.holder, f.term = holder, e.Term
}

// learnMembers keeps the contacts: the members of a stale answer may all be
// gone.
func (f *Forwarder) learnMembers(list []unit.Instance) {
	if len(list) == 0 {
		return
	}
	f.known = slices.Clone(list)
	for _, c := range f.cfg.Seeds {
		if !slices.Contains(f.known, c) {
			f.known = append(f.known, c)
		}
	}
}
