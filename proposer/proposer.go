// Package proposer brings commands to the leader of the replicated log from
// any instance, and tells which voter leads.
//
// A voter asks its own node first; every other instance asks the voter that it
// believes to lead and follows the hint of a voter that doesn't. A command that
// surely was not appended is sent again with backoff and full jitter until the
// context ends. One that may have been appended is sent again only if applying
// it twice is the same as applying it once.
package proposer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/retrier"
	"github.com/chervilvane/chervilvane/unit"
)

// Method is the mesh method that proposes a command at a voter.
const Method instance.Method = "log.propose"

// backoff spaces the attempts of one command.
var backoff = retrier.Backoff{BaseDelay: 10 * clock.Millisecond, MaxDelay: 500 * clock.Millisecond}

// attemptTimeout bounds one attempt at one voter, so that a voter that hangs
// doesn't use up the caller's whole deadline.
const attemptTimeout = 2 * clock.Second

// Local is the part of a voter's own node that the proposer uses.
type Local interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Leader() unit.Instance
}

// Config of a Proposer.
type Config struct {
	Self unit.Instance
	// Local is nil on an instance without a vote.
	Local  Local
	Voters []unit.Instance
	Call   instance.Caller
}

// Proposer sends commands to the log's leader.
type Proposer struct {
	c  Config
	mu sync.Mutex
	// leader is the voter that last answered as the leader.
	leader unit.Instance
	// turn counts the calls of NextVoter.
	turn atomic.Uint32
}

// New returns a Proposer.
func New(c Config) *Proposer {
	return &Proposer{c: c}
}

// reply is the answer of a voter to a forwarded command.
type reply struct {
	Result    []byte
	NotLeader bool
	Leader    unit.Instance
	// Unknown is set when the command may or may not be committed.
	Unknown string
}

// Propose commits a command and returns its result. The error is a
// *replicator.UnknownResultError if the command may be committed; any other
// error means that it surely was not.
func (p *Proposer) Propose(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	data := registrar.EncodeCommand(c)
	var uncertain error
	for attempt := 0; ; attempt++ {
		result, err := p.attempt(ctx, attempt, data)
		if err == nil {
			return registrar.DecodeResult(result)
		}
		var unknown *replicator.UnknownResultError
		if errors.As(err, &unknown) {
			uncertain = err
			if !idempotent(c) {
				return nil, err
			}
		}
		if backoff.Wait(ctx, attempt) != nil {
			return nil, lastError(uncertain, err)
		}
	}
}

// ProposeLocal commits a command only if this instance leads the log. It never
// passes the command on, for commands whose conditions this leader checked.
func (p *Proposer) ProposeLocal(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	if p.c.Local == nil {
		return nil, &replicator.NotLeaderError{Leader: p.Leader()}
	}
	result, err := p.c.Local.Propose(ctx, registrar.EncodeCommand(c))
	if err != nil {
		return nil, err
	}
	return registrar.DecodeResult(result)
}

// lastError prefers the attempt whose command may have been committed.
func lastError(uncertain, last error) error {
	if uncertain != nil {
		return uncertain
	}
	return errors.Wrap(last, "no voter took the command")
}

// idempotent reports whether applying a command twice equals applying it once.
func idempotent(c registrar.Command) bool {
	switch c := c.(type) {
	case registrar.AcquireAllotment:
		return false
	case registrar.PutConfig:
		return c.ID != ""
	default:
		return true
	}
}

// attempt proposes once, at the leader if it is known, else at the voters in
// turn.
func (p *Proposer) attempt(ctx context.Context, attempt int, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	to := p.target(attempt)
	if to == p.c.Self && p.c.Local != nil {
		return p.proposeHere(ctx, command)
	}
	return p.forward(ctx, to, command)
}

func (p *Proposer) proposeHere(ctx context.Context, command []byte) ([]byte, error) {
	result, err := p.c.Local.Propose(ctx, command)
	var notLeader *replicator.NotLeaderError
	if errors.As(err, &notLeader) {
		p.SetLeaderHint(notLeader.Leader)
	}
	return result, err
}

// forward proposes at another voter.
func (p *Proposer) forward(ctx context.Context, to unit.Instance, command []byte) ([]byte, error) {
	body, err := p.c.Call.Call(ctx, to, Method, command)
	if err != nil {
		p.ClearLeaderHint(to)
		return nil, asLogError(err)
	}
	var r reply
	if err := encoder.Unmarshal(body, &r); err != nil {
		return nil, &replicator.UnknownResultError{Cause: err}
	}
	switch {
	case r.NotLeader:
		p.ClearLeaderHint(to)
		p.SetLeaderHint(r.Leader)
		return nil, &replicator.NotLeaderError{Leader: r.Leader}
	case r.Unknown != "":
		return nil, &replicator.UnknownResultError{Cause: errors.New(r.Unknown)}
	}
	p.SetLeaderHint(to)
	return r.Result, nil
}

// asLogError turns a failed call into the error types of a log.
func asLogError(err error) error {
	var call *instance.CallError
	if errors.As(err, &call) && !call.MaybeDelivered {
		return err
	}
	return &replicator.UnknownResultError{Cause: err}
}

// Handle serves Method on a voter.
func (p *Proposer) Handle(ctx context.Context, _ unit.Instance, command []byte) ([]byte, error) {
	if p.c.Local == nil {
		return encoder.Marshal(reply{NotLeader: true, Leader: p.Leader()}), nil
	}
	result, err := p.c.Local.Propose(ctx, command)
	var notLeader *replicator.NotLeaderError
	switch {
	case err == nil:
		return encoder.Marshal(reply{Result: result}), nil
	case errors.As(err, &notLeader):
		return encoder.Marshal(reply{NotLeader: true, Leader: notLeader.Leader}), nil
	default:
		return encoder.Marshal(reply{Unknown: err.Error()}), nil
	}
}

// Leader returns the voter that is believed to lead, or "".
func (p *Proposer) Leader() unit.Instance {
	if p.c.Local != nil {
		return p.c.Local.Leader()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

// SetLeaderHint notes a hint of who leads.
func (p *Proposer) SetLeaderHint(leader unit.Instance) {
	if leader == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = leader
}

// ClearLeaderHint drops a voter that turned out not to lead.
func (p *Proposer) ClearLeaderHint(leader unit.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader == leader {
		p.leader = ""
	}
}

// target returns the voter to ask in a given attempt: the believed leader, or
// the voters in turn.
func (p *Proposer) target(attempt int) unit.Instance {
	if leader := p.Leader(); leader != "" {
		return leader
	}
	return p.c.Voters[attempt%len(p.c.Voters)]
}

// NextVoter returns the voter to follow the log at: the believed leader, or the
// voters in turn while none is known.
func (p *Proposer) NextVoter() unit.Instance {
	return p.target(int(p.turn.Add(1)))
}
