// Package proposer forwards commands from any instance to the leader of the
// replicated log, and tracks which voter leads.
//
// A voter takes the leader from its own node. Every other instance sends to the
// voter that it believes to lead; a voter that doesn't lead answers with a hint.
// A command that was certainly not committed is retried with exponential backoff
// and full jitter until the context ends. A command whose result is unknown is
// retried only if it is idempotent.
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

// Method is the mesh method that forwards a command to a voter.
const Method instance.Method = "log.propose"

// backoff sets the delays between the attempts of one command.
var backoff = retrier.Backoff{BaseDelay: 10 * clock.Millisecond, MaxDelay: 500 * clock.Millisecond}

// attemptTimeout limits one attempt at one voter, so that a voter that doesn't
// answer can't use up the caller's whole deadline.
const attemptTimeout = 2 * clock.Second

// Local is the log's node on this instance.
type Local interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Leader() unit.Instance
}

// Config configures a Proposer.
type Config struct {
	Self unit.Instance
	// Local is nil if this instance is not a voter.
	Local  Local
	Voters []unit.Instance
	Call   instance.Caller
}

// Proposer sends commands to the log's leader. It is safe for concurrent use.
type Proposer struct {
	config Config
	mu     sync.Mutex
	// leader is the voter that is believed to lead, or ""; guarded by mu. It is
	// unused if config.Local is set.
	leader unit.Instance
	// nextVoterCalls is the number of calls of NextVoter.
	nextVoterCalls atomic.Uint32
}

// New returns a Proposer with the given configuration.
func New(c Config) *Proposer {
	return &Proposer{config: c}
}

// reply is a voter's answer to a forwarded command.
type reply struct {
	Result    []byte
	NotLeader bool
	Leader    unit.Instance
	// Unknown is the error's text if the command may or may not be committed.
	Unknown string
}

// Propose commits a command and returns its result. It retries until the context
// ends, but returns at once if the result of a command that isn't idempotent is
// unknown. The error is a *replicator.UnknownResultError if any attempt may have
// committed the command; any other error means that it was not committed.
func (p *Proposer) Propose(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	data := registrar.EncodeCommand(c)
	var unknownErr error
	for attempt := 0; ; attempt++ {
		result, err := p.attempt(ctx, attempt, data)
		if err == nil {
			return registrar.DecodeResult(result)
		}
		var unknown *replicator.UnknownResultError
		if errors.As(err, &unknown) {
			unknownErr = err
			if !isIdempotent(c) {
				return nil, err
			}
		}
		if backoff.Wait(ctx, attempt) != nil {
			return nil, finalError(unknownErr, err)
		}
	}
}

// ProposeLocal commits a command through this instance's own node. It returns a
// *replicator.NotLeaderError if this instance doesn't lead the log, and never
// forwards the command. It is meant for commands whose conditions were checked by
// this instance as the leader.
func (p *Proposer) ProposeLocal(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	if p.config.Local == nil {
		return nil, &replicator.NotLeaderError{Leader: p.Leader()}
	}
	result, err := p.config.Local.Propose(ctx, registrar.EncodeCommand(c))
	if err != nil {
		return nil, err
	}
	return registrar.DecodeResult(result)
}

// finalError returns the error of Propose after the last attempt. An unknown
// result of any attempt takes precedence, since the command may be committed.
func finalError(unknownErr, last error) error {
	if unknownErr != nil {
		return unknownErr
	}
	return errors.Wrap(last, "no voter took the command")
}

// isIdempotent reports whether applying a command twice has the same effect as
// applying it once.
func isIdempotent(c registrar.Command) bool {
	switch c := c.(type) {
	case registrar.AcquireAllotment:
		return false
	case registrar.PutConfig:
		return c.ID != ""
	default:
		return true
	}
}

// attempt makes one attempt to commit a command, at the voter that pickVoter
// returns. Attempts are counted from 0.
func (p *Proposer) attempt(ctx context.Context, attempt int, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout.Duration())
	defer cancel()
	to := p.pickVoter(attempt)
	if to == p.config.Self && p.config.Local != nil {
		return p.proposeLocally(ctx, command)
	}
	return p.forward(ctx, to, command)
}

func (p *Proposer) proposeLocally(ctx context.Context, command []byte) ([]byte, error) {
	result, err := p.config.Local.Propose(ctx, command)
	var notLeader *replicator.NotLeaderError
	if errors.As(err, &notLeader) {
		p.SetLeaderHint(notLeader.Leader)
	}
	return result, err
}

// forward makes one attempt at another voter.
func (p *Proposer) forward(ctx context.Context, to unit.Instance, command []byte) ([]byte, error) {
	body, err := p.config.Call.Call(ctx, to, Method, command)
	if err != nil {
		p.ClearLeaderHint(to)
		return nil, toProposeError(err)
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

// toProposeError converts the error of a failed call. It returns err itself if the
// voter certainly didn't receive the command, else an UnknownResultError.
func toProposeError(err error) error {
	var callErr *instance.CallError
	if errors.As(err, &callErr) && !callErr.MaybeDelivered {
		return err
	}
	return &replicator.UnknownResultError{Cause: err}
}

// Handle serves Method. An instance that is not a voter answers with a hint.
func (p *Proposer) Handle(ctx context.Context, _ unit.Instance, command []byte) ([]byte, error) {
	if p.config.Local == nil {
		return encoder.Marshal(reply{NotLeader: true, Leader: p.Leader()}), nil
	}
	result, err := p.config.Local.Propose(ctx, command)
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

// Leader returns the voter that is believed to lead the log, or "" if none is
// known.
func (p *Proposer) Leader() unit.Instance {
	if p.config.Local != nil {
		return p.config.Local.Leader()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader
}

// SetLeaderHint records the voter that is believed to lead. It ignores "".
func (p *Proposer) SetLeaderHint(leader unit.Instance) {
	if leader == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = leader
}

// ClearLeaderHint removes the hint if it names the given voter, which is known
// not to lead or couldn't be reached.
func (p *Proposer) ClearLeaderHint(leader unit.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader == leader {
		p.leader = ""
	}
}

// pickVoter returns the voter to send to in the given attempt: the believed
// leader, or each voter in turn if no leader is known.
func (p *Proposer) pickVoter(attempt int) unit.Instance {
	if leader := p.Leader(); leader != "" {
		return leader
	}
	return p.config.Voters[attempt%len(p.config.Voters)]
}

// NextVoter returns the voter to pull the log from: the believed leader, or each
// voter in turn while no leader is known.
func (p *Proposer) NextVoter() unit.Instance {
	return p.pickVoter(int(p.nextVoterCalls.Add(1)))
}
