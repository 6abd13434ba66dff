package driver

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Methods of a domain on the mesh.
const (
	// MethodRequest brings a request to the holder.
	MethodRequest instance.Method = "domain.request"
	// MethodAdvise asks an instance to ask the advice service.
	MethodAdvise instance.Method = "domain.advise"
)

// watchEvery is the time between two looks at the leadership; it adds to the
// time until a new holder starts work.
const watchEvery = 10 * clock.Millisecond

// Log is the replicated log that the session stands on; *replicator.Node
// implements it.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Leadership() (replicator.Term, clock.Millis, bool)
	Status() replicator.Status
}

// UpstreamClient carries out orders.
type UpstreamClient interface {
	// Start and Stop return the upstream's clock, 0 if it didn't tell.
	Start(ctx context.Context, token uint64, s planner.Start) (planner.OrderResult, clock.Millis)
	Stop(ctx context.Context, token uint64, s planner.Stop) (planner.OrderResult, clock.Millis)
	// Poll returns ErrOtherLife if another life answered.
	Poll(ctx context.Context, token uint64, l planner.Poll) (planner.PollResult, error)
}

// ErrIncarnationMismatch says that another life of an upstream has answered.
var ErrIncarnationMismatch = errors.New("another life of the upstream answered")

// Config configures a Driver.
type Config struct {
	Self unit.Instance
	Log  Log
	// State is what the log is applied to.
	State     *keeper.State
	Upstreams UpstreamClient
	Mesh      instance.Caller
	Clock     clock.Clock
	Planner   planner.Config
	// OnHeartbeat, if it is set, is told of each sign of life of an instance.
	OnHeartbeat func(planner.Heartbeat)
	Logger      logrus.FieldLogger
	Metrics     tally.Scope
}

// Driver runs a session whenever this instance holds the domain.
type Driver struct {
	cfg     Config
	log     logrus.FieldLogger
	metrics metrics
	done    chan struct{}

	// spent is the last term whose session ended with a proposal that may still
	// be committed: what that term's log will hold isn't known.
	spent replicator.Term
	// opened counts the sessions of openedIn: a session may end and another one
	// begin in the same term, after a handover that nobody took.
	opened   uint64
	openedIn replicator.Term

	mu      sync.Mutex
	session *session
	// attended is when each instance that can ask for advice attended last.
	attended map[unit.Instance]clock.Millis
}

// New returns a driver.
func New(c Config) *Driver {
	return &Driver{cfg: c, log: c.Logger, metrics: newMetrics(c.Metrics), done: make(chan struct{}), attended: map[unit.Instance]clock.Millis{}}
}

// Run starts and ends sessions until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(watchEvery.Duration())
	defer ticker.Stop()
	for {
		d.watch(ctx)
		select {
		case <-ctx.Done():
			if s := d.current(); s != nil {
				s.end("shutting down")
			}
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Driver) current() *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// watch aligns the session with the leadership.
func (d *Driver) watch(ctx context.Context) {
	term, since, leads := d.cfg.Log.Leadership()
	s := d.current()
	if s != nil {
		if st := d.cfg.Log.Status(); st.Role == replicator.RoleLeader && st.Term == s.term && s.ctx.Err() == nil {
			return
		}
		s.end("the leadership is over")
		if s.unsure {
			d.spent = s.term
		}
		d.mu.Lock()
		d.session = nil
		d.mu.Unlock()
	}
	if !leads || term == d.spent {
		return
	}
	if term != d.openedIn {
		d.openedIn, d.opened = term, 0
	}
	s, err := newSession(ctx, d, term, token(term, d.opened), since)
	if err != nil {
		d.log.WithError(err).Error("taking the domain over failed")
		return
	}
	d.opened++
	d.mu.Lock()
	d.session = s
	d.mu.Unlock()
	s.start()
}

// sessionsPerTerm bounds the sessions of a term whose tokens differ.
const sessionsPerTerm = 1 << 10

// token returns the fencing token of the nth session of a term. It is higher than
// that of any session before, so that orders of a former session of the same term
// are refused as well.
func token(term replicator.Term, nth uint64) uint64 {
	return uint64(term)*sessionsPerTerm + min(nth, sessionsPerTerm-1)
}

// isHolding reports whether a term's lease is valid now.
func (d *Driver) isHolding(term replicator.Term) bool {
	t, _, ok := d.cfg.Log.Leadership()
	return ok && t == term
}

// Response is the answer of an instance to MethodRequest.
type Response struct {
	_ struct{} `cbor:",toarray"`
	// NotLeader: the instance doesn't hold the domain; nothing was done.
	NotLeader bool
	// Leader is who is believed to hold it; empty if unknown.
	Leader unit.Instance
	// Term is that of the leadership that the answer speaks of.
	Term replicator.Term
	// Members are the instances that may hold it.
	Members []unit.Instance
	Reply   planner.Reply
}

// Serve handles MethodRequest.
func (d *Driver) Serve(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	r, err := planner.DecodeRequest(body)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(d.Handle(ctx, r)), nil
}

// Handle gives a request to the session, if there is one here.
func (d *Driver) Handle(ctx context.Context, r planner.Request) Response {
	st := d.cfg.Log.Status()
	e := Response{Leader: st.Leader, Term: st.Term, Members: members(st.Membership)}
	sign, isSign := r.(planner.Heartbeat)
	if isSign {
		d.attend(sign)
	}
	s := d.current()
	if s == nil || !d.isHolding(s.term) {
		e.NotLeader = true
		if e.Leader == d.cfg.Self {
			e.Leader = ""
		}
		return e
	}
	e.Leader, e.Term = d.cfg.Self, s.term
	if isSign {
		e.Reply = s.attend(sign)
		return e
	}
	e.Reply = s.ask(ctx, r)
	return e
}

// attend notes what an instance can do, also for the session that may begin
// here.
func (d *Driver) attend(a planner.Heartbeat) {
	if d.cfg.OnHeartbeat != nil {
		d.cfg.OnHeartbeat(a)
	}
	if !a.RequestsTickets {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attended[a.From] = d.cfg.Clock.Now()
}

// attendMemory is for how long an instance that attended is expected to be
// there.
const attendMemory = 3 * clock.Second

// present returns the instances that attended lately.
func (d *Driver) present() []unit.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []unit.Instance
	for id, at := range d.attended {
		if d.cfg.Clock.Now()-at > attendMemory {
			delete(d.attended, id)
			continue
		}
		list = append(list, id)
	}
	return list
}

func members(m replicator.Membership) []unit.Instance {
	var ids []unit.Instance
	for _, v := range m.Voters {
		ids = append(ids, v.Instance)
	}
	for _, l := range m.Learners {
		ids = append(ids, l.Instance)
	}
	return ids
}
