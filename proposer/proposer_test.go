package proposer_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/proposer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// voter answers its proposals with errs in order, and repeats the last one. A nil
// error commits the command.
type voter struct {
	errs      []error
	proposals int
}

func (v *voter) Leader() unit.Instance { return "" }

func (v *voter) Propose(context.Context, []byte) ([]byte, error) {
	err := v.errs[min(v.proposals, len(v.errs)-1)]
	v.proposals++
	if err != nil {
		return nil, err
	}
	state := registrar.New()
	return state.Apply(1, registrar.EncodeCommand(registrar.WithdrawKey{Key: "k"})), nil
}

// mesh connects a proposer that is not a voter to the voters. Calls to the
// instances in failures fail.
type mesh struct {
	voters   map[unit.Instance]*voter
	failures map[unit.Instance]*instance.CallError
}

func (m *mesh) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	if err := m.failures[to]; err != nil {
		return nil, err
	}
	return proposer.New(proposer.Config{Self: to, Local: m.voters[to]}).Handle(ctx, "", body)
}

func TestProposeRetries(t *testing.T) {
	unknown := &replicator.UnknownResultError{Cause: errors.New("lost leadership")}
	acquire := registrar.AcquireAllotment{AvailabilityZone: "a"}
	withdraw := registrar.WithdrawKey{Key: "k"}
	cases := map[string]struct {
		v1, v2    []error
		failure   *instance.CallError // of calls to v1
		command   registrar.Command
		unknown   bool
		proposals int // at v2; not checked if 0
	}{
		"hinted voter leads":                         {v1: []error{nil}, command: withdraw},
		"reply names the leader":                     {v1: []error{&replicator.NotLeaderError{Leader: "v2"}}, v2: []error{nil}, command: withdraw, proposals: 1},
		"reply names no leader: next voter is tried": {v1: []error{&replicator.NotLeaderError{}}, v2: []error{nil}, command: withdraw, proposals: 1},
		"hinted voter is unreachable":                {failure: &instance.CallError{}, v2: []error{nil}, command: acquire, proposals: 1},
		"unknown result, idempotent: retried":        {v1: []error{unknown, nil}, v2: []error{nil}, command: withdraw, proposals: 0},
		"unknown result, not idempotent: returned":   {v1: []error{unknown, nil}, v2: []error{nil}, command: acquire, unknown: true},
		"lost answer, not idempotent: returned":      {failure: &instance.CallError{MaybeDelivered: true}, v2: []error{nil}, command: acquire, unknown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &mesh{voters: map[unit.Instance]*voter{"v1": {errs: c.v1}, "v2": {errs: c.v2}}, failures: map[unit.Instance]*instance.CallError{}}
			if c.failure != nil {
				m.failures["v1"] = c.failure
			}
			p := proposer.New(proposer.Config{Self: "e1", Voters: []unit.Instance{"v1", "v2"}, Call: m})
			p.SetLeaderHint("v1")
			_, err := p.Propose(context.Background(), c.command)
			var u *replicator.UnknownResultError
			is.Equal(errors.As(err, &u), c.unknown)
			is.Equal(err != nil, c.unknown)
			if c.proposals > 0 {
				is.Equal(m.voters["v2"].proposals, c.proposals)
			}
		})
	}
}

func TestMalformedReplyIsUnknownResult(t *testing.T) {
	is := is.New(t)
	p := proposer.New(proposer.Config{Self: "e1", Voters: []unit.Instance{"v1"}, Call: malformedReplies{}})
	_, err := p.Propose(context.Background(), registrar.AcquireAllotment{})
	var u *replicator.UnknownResultError
	is.True(errors.As(err, &u))
}

// malformedReplies answers each call with a value that isn't a reply.
type malformedReplies struct{}

func (malformedReplies) Call(context.Context, unit.Instance, instance.Method, []byte) ([]byte, error) {
	return encoder.Marshal("not a reply"), nil
}
