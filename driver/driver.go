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

// Mesh methods of the scheduling domain.
const (
	// MethodRequest sends a request to the leader.
	MethodRequest instance.Method = "domain.request"
	// MethodAdvise asks an instance to request tickets from the advice service.
	MethodAdvise instance.Method = "domain.advise"
)

// leadershipCheckInterval is the time between two checks of the leadership. It adds
// to the time until a new leader starts its session.
const leadershipCheckInterval = 10 * clock.Millisecond

// Log is the replicated log to which sessions propose commands. *replicator.Node
// implements it.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Leadership() (replicator.Term, clock.Millis, bool)
	Status() replicator.Status
}

// UpstreamClient sends orders to upstreams.
type UpstreamClient interface {
	// Start and Stop return the result of an order and the upstream's clock; 0 if the
	// upstream didn't report its clock.
	Start(ctx context.Context, token uint64, s planner.Start) (planner.OrderResult, clock.Millis)
	Stop(ctx context.Context, token uint64, s planner.Stop) (planner.OrderResult, clock.Millis)
	// Poll returns ErrIncarnationMismatch if another incarnation of the upstream
	// answered.
	Poll(ctx context.Context, token uint64, poll planner.Poll) (planner.PollResult, error)
}

// ErrIncarnationMismatch means that another incarnation of an upstream answered.
var ErrIncarnationMismatch = errors.New("another life of the upstream answered")

// Config configures a Driver.
type Config struct {
	Self unit.Instance
	Log  Log
	// State is the state that the log is applied to.
	State     *keeper.State
	Upstreams UpstreamClient
	Mesh      instance.Caller
	Clock     clock.Clock
	// BootTime reads the boot time clock, which also counts while the machine is suspended.
	// If it is nil, Clock is used.
	BootTime func() clock.Millis
	Planner  planner.Config
	// OnHeartbeat is called with each heartbeat of an instance, if it isn't nil.
	OnHeartbeat func(planner.Heartbeat)
	Logger      logrus.FieldLogger
	Metrics     tally.Scope
}

// Driver runs a session whenever this instance is the leader of the domain.
type Driver struct {
	cfg     Config
	log     logrus.FieldLogger
	metrics metrics
	done    chan struct{}

	// unresolvedTerm is the last term whose session ended with a proposal that may
	// still be committed. No session starts in it again, since the state that the log
	// of this term will have isn't known.
	unresolvedTerm replicator.Term
	// sessionCount is the number of sessions started in sessionTerm. A term has
	// several sessions if a leadership transfer ended one and no other instance became
	// the leader.
	sessionCount uint64
	sessionTerm  replicator.Term

	mu      sync.Mutex
	session *session
	// lastHeartbeats is when each instance that can request tickets last sent a
	// heartbeat.
	lastHeartbeats map[unit.Instance]receivedHeartbeat
}

// receivedHeartbeat is the last heartbeat of an instance and when it was received.
type receivedHeartbeat struct {
	planner.Heartbeat
	at clock.Millis
}

// New returns a driver.
func New(c Config) *Driver {
	if c.BootTime == nil {
		c.BootTime = c.Clock.Now
	}
	return &Driver{cfg: c, log: c.Logger, metrics: newMetrics(c.Metrics), done: make(chan struct{}), lastHeartbeats: map[unit.Instance]receivedHeartbeat{}}
}

// Run starts and ends sessions until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	defer close(d.done)
	ticker := time.NewTicker(leadershipCheckInterval.Duration())
	defer ticker.Stop()
	for {
		d.syncSession(ctx)
		select {
		case <-ctx.Done():
			if s := d.currentSession(); s != nil {
				s.end("shutting down")
			}
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Driver) currentSession() *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// syncSession starts or ends the session to match the leadership.
func (d *Driver) syncSession(ctx context.Context) {
	term, since, holdsLease := d.cfg.Log.Leadership()
	s := d.currentSession()
	if s != nil {
		if st := d.cfg.Log.Status(); st.Role == replicator.RoleLeader && st.Term == s.term && s.ctx.Err() == nil {
			return
		}
		s.end("the leadership is over")
		if s.resultUnknown {
			d.unresolvedTerm = s.term
		}
		d.mu.Lock()
		d.session = nil
		d.mu.Unlock()
	}
	if !holdsLease || term == d.unresolvedTerm {
		return
	}
	if term != d.sessionTerm {
		d.sessionTerm, d.sessionCount = term, 0
	}
	s, err := newSession(ctx, d, term, token(term, d.sessionCount), since)
	if err != nil {
		d.log.WithError(err).Error("could not start a leader session")
		return
	}
	d.sessionCount++
	d.mu.Lock()
	d.session = s
	d.mu.Unlock()
	s.start()
}

// sessionsPerTerm is how many sessions of one term get different fencing tokens.
const sessionsPerTerm = 1 << 10

// token returns the fencing token of session n of a term, counted from 0. For the
// first sessionsPerTerm sessions of a term it is higher than that of any earlier
// session, so that upstreams also refuse orders of an earlier session of the same
// term.
func token(term replicator.Term, n uint64) uint64 {
	return uint64(term)*sessionsPerTerm + min(n, sessionsPerTerm-1)
}

// holdsLease reports whether this instance leads in the given term and its lease is
// valid now.
func (d *Driver) holdsLease(term replicator.Term) bool {
	t, _, ok := d.cfg.Log.Leadership()
	return ok && t == term
}

// Response is an instance's response to MethodRequest.
type Response struct {
	_ struct{} `cbor:",toarray"`
	// NotLeader is true if the instance isn't the leader with a valid lease. It has
	// not processed the request.
	NotLeader bool
	// Leader is the instance that this one believes to be the leader; empty if
	// unknown.
	Leader unit.Instance
	// Term is the term that Leader belongs to.
	Term replicator.Term
	// Members are the voters and learners of the log, each of which may become the
	// leader.
	Members []unit.Instance
	Reply   planner.Reply
}

// MaxRequestBytes bounds an encoded request, so that the command that follows from it fits
// into an entry of the log.
const MaxRequestBytes = replicator.MaxCommandBytes - 64<<10

// Serve handles MethodRequest. It returns an error if body can't be decoded or is longer
// than MaxRequestBytes.
func (d *Driver) Serve(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	if len(body) > MaxRequestBytes {
		return nil, errors.Newf("a request of %d bytes", len(body))
	}
	r, err := planner.DecodeRequest(body)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(d.Handle(ctx, r)), nil
}

// Handle passes a request to the session. It responds with NotLeader if there is no
// session with a valid lease.
func (d *Driver) Handle(ctx context.Context, r planner.Request) Response {
	st := d.cfg.Log.Status()
	resp := Response{Leader: st.Leader, Term: st.Term, Members: memberIDs(st.Membership)}
	heartbeat, isHeartbeat := r.(planner.Heartbeat)
	if isHeartbeat {
		// The leader's own processor is the scarcest.
		heartbeat.RequestsTickets = heartbeat.RequestsTickets && heartbeat.From != d.cfg.Self
		d.recordHeartbeat(heartbeat)
	}
	s := d.currentSession()
	if s == nil || !d.holdsLease(s.term) {
		resp.NotLeader = true
		if resp.Leader == d.cfg.Self {
			resp.Leader = ""
		}
		return resp
	}
	resp.Leader, resp.Term = d.cfg.Self, s.term
	if isHeartbeat {
		resp.Reply = s.handleHeartbeat(heartbeat)
		return resp
	}
	resp.Reply = s.handleRequest(ctx, r)
	return resp
}

// recordHeartbeat records an instance that can request tickets, also if there is
// no session: a later session starts with these instances.
func (d *Driver) recordHeartbeat(heartbeat planner.Heartbeat) {
	if d.cfg.OnHeartbeat != nil {
		d.cfg.OnHeartbeat(heartbeat)
	}
	if !heartbeat.RequestsTickets {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeartbeats[heartbeat.From] = receivedHeartbeat{heartbeat, d.cfg.Clock.Now()}
}

// heartbeatTTL is how long after its last heartbeat an instance counts as live.
const heartbeatTTL = 3 * clock.Second

// liveTicketRequesters returns the last heartbeats of the live instances that can request
// tickets.
func (d *Driver) liveTicketRequesters() []planner.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []planner.Heartbeat
	for id, last := range d.lastHeartbeats {
		if d.cfg.Clock.Now()-last.at > heartbeatTTL {
			delete(d.lastHeartbeats, id)
			continue
		}
		list = append(list, last.Heartbeat)
	}
	return list
}

func memberIDs(m replicator.Membership) []unit.Instance {
	var ids []unit.Instance
	for _, v := range m.Voters {
		ids = append(ids, v.Instance)
	}
	for _, l := range m.Learners {
		ids = append(ids, l.Instance)
	}
	return ids
}
