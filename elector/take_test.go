package elector

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
)

// TestDelayedTake delays a Take in the network while the holder is partitioned
// from the log and relies on promises. Two guards keep both instances from being
// holders: the sender of a Take gives no promise, and the leader checks the
// ticket. Each broken variant lacks one guard and shows two holders.
func TestDelayedTake(t *testing.T) {
	for name, c := range map[string]struct {
		arrives                clock.Millis
		promisesWhileProposing bool
		ignoresTicket          bool
		wantTwoHolders         bool
	}{
		"while its ticket is valid":         {arrives: 300},
		"after its ticket expired":          {arrives: 420},
		"broken: promises while proposing":  {arrives: 300, promisesWhileProposing: true, wantTwoHolders: true},
		"broken: leader ignores the ticket": {arrives: 420, ignoresTicket: true, wantTwoHolders: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			zone := registrar.Zone{Epoch: 1, Holder: "i0"}
			l := Leadership{Since: 1, Valid: true}
			leader := NewGranter("o0", testLease)
			holder := NewMachine("i0", testZone, instances("i1"), testLease, -1000)
			other := NewMachine("i1", testZone, instances("i0"), testLease, -1000)
			holder.Observe(zone)
			other.Observe(zone)
			holder.becomeHolder(1, 100, PriorUpstreams{})

			ask := Ask{AvailabilityZone: testZone, Prior: 1}
			actions := other.HandleAskReply(250, ask, leader.HandleAsk(250, l, zone, ask))
			is.Equal(len(actions), 1) // the holder's lease has expired
			take := actions[0].(SendTake).Take
			if c.promisesWhileProposing {
				other.proposal = nil
			}
			// The proposal expires at 360; the holder asks for a promise before
			// and after that.
			promise := func(at clock.Millis) {
				p := Promise{AvailabilityZone: testZone, Instance: "i0", Epoch: 1}
				holder.HandlePromiseReply(at, "i1", p, other.HandlePromise(at, p))
			}
			promise(290)
			if c.arrives > 360 {
				for _, a := range other.Poll(365) {
					other.HandleSettleResult(a.(Settle), true)
				}
				promise(370)
			}
			if c.ignoresTicket {
				take.Ticket.IssuedAt = c.arrives
			}
			if leader.BeginTake(c.arrives, l, zone, take) {
				other.proposal = &proposal{prior: 1}
				other.HandleTakeReply(c.arrives-1, take, TakeReply{Taken: true, Epoch: 2})
			}
			_, first := holder.HoldsLease(c.arrives)
			_, second := other.HoldsLease(c.arrives)
			is.True(first || second) // the zone has a holder
			is.Equal(first && second, c.wantTwoHolders)
		})
	}
}

// TestReleaseDuringATake checks that an instance that calls Release while its
// Take is in progress neither starts tasks nor renews its lease, whether it
// learns the result of the Take from the log or from the reply.
func TestReleaseDuringATake(t *testing.T) {
	for name, deliver := range map[string]func(m *Machine, take Take){
		"result from the log": func(m *Machine, _ Take) {
			m.Observe(registrar.Zone{Epoch: 1, Holder: "i0"})
		},
		"result from the reply": func(m *Machine, take Take) {
			m.HandleTakeReply(20, take, TakeReply{Taken: true, Epoch: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine("i0", testZone, instances("i1"), testLease, -1000)
			actions := m.HandleAskReply(10, Ask{AvailabilityZone: testZone}, AskReply{Lapsed: true})
			is.Equal(len(actions), 1)

			_, held := m.Release()
			is.True(!held) // there is nothing to release yet
			deliver(m, actions[0].(SendTake).Take)
			_, mayStart := m.HoldsLease(30)
			is.True(!mayStart)
			is.Equal(len(m.Poll(10_000)), 0) // the lease expires, so that a successor can take over
		})
	}
}
