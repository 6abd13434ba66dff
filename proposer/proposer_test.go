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

// voter answers proposals in turn, the last answer again and again.
type voter struct {
	errs  []error
	asked int
}

func (v *voter) Leader() unit.Instance { return "" }

func (v *voter) Propose(context.Context, []byte) ([]byte, error) {
	err := v.errs[min(v.asked, len(v.errs)-1)]
	v.asked++
	if err != nil {
		return nil, err
	}
	state := registrar.New()
	return state.Apply(1, registrar.EncodeCommand(registrar.WithdrawKey{Key: "k"})), nil
}

// mesh connects a proposer without a vote to voters.
type mesh struct {
	voters map[unit.Instance]*voter
	down   map[unit.Instance]*instance.CallError
}

func (m *mesh) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	if err := m.down[to]; err != nil {
		return nil, err
	}
	return proposer.New(proposer.Config{Self: to, Local: m.voters[to]}).Handle(ctx, "", body)
}

func TestPropose(t *testing.T) {
	unknown := &replicator.UnknownResultError{Cause: errors.New("lost leadership")}
	acquire := registrar.AcquireAllotment{AvailabilityZone: "a"}
	withdraw := registrar.WithdrawKey{Key: "k"}
	cases := map[string]struct {
		v1, v2  []error
		down    *instance.CallError // of v1
		command registrar.Command
		unknown bool
		asked   int // of v2
	}{
		"the first voter leads":               {v1: []error{nil}, command: withdraw},
		"a hint leads to the leader":          {v1: []error{&replicator.NotLeaderError{Leader: "v2"}}, v2: []error{nil}, command: withdraw, asked: 1},
		"no hint, the other is asked":         {v1: []error{&replicator.NotLeaderError{}}, v2: []error{nil}, command: withdraw, asked: 1},
		"unreachable":                         {down: &instance.CallError{}, v2: []error{nil}, command: acquire, asked: 1},
		"unknown, idempotent: proposed again": {v1: []error{unknown, nil}, v2: []error{nil}, command: withdraw, asked: 0},
		"unknown, not idempotent: told":       {v1: []error{unknown, nil}, v2: []error{nil}, command: acquire, unknown: true},
		"lost answer, not idempotent: told":   {down: &instance.CallError{MaybeDelivered: true}, v2: []error{nil}, command: acquire, unknown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &mesh{voters: map[unit.Instance]*voter{"v1": {errs: c.v1}, "v2": {errs: c.v2}}, down: map[unit.Instance]*instance.CallError{}}
			if c.down != nil {
				m.down["v1"] = c.down
			}
			p := proposer.New(proposer.Config{Self: "e1", Voters: []unit.Instance{"v1", "v2"}, Call: m})
			p.SetLeaderHint("v1")
			_, err := p.Propose(context.Background(), c.command)
			var u *replicator.UnknownResultError
			is.Equal(errors.As(err, &u), c.unknown)
			is.Equal(err != nil, c.unknown)
			if c.asked > 0 {
				is.Equal(m.voters["v2"].asked, c.asked)
			}
		})
	}
}

func TestMalformedReplyIsUnknown(t *testing.T) {
	is := is.New(t)
	p := proposer.New(proposer.Config{Self: "e1", Voters: []unit.Instance{"v1"}, Call: garbled{}})
	_, err := p.Propose(context.Background(), registrar.AcquireAllotment{})
	var u *replicator.UnknownResultError
	is.True(errors.As(err, &u))
}

type garbled struct{}

func (garbled) Call(context.Context, unit.Instance, instance.Method, []byte) ([]byte, error) {
	return encoder.Marshal("not a reply"), nil
}
