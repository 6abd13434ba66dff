package elector

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
)

// A Take that is delayed in the network meets a holder that is cut off from
// the log and lives on promises. Neither the sender's promise nor the leader
// may let both start; the two broken variants show what each guard is for.
func TestDelayedTake(t *testing.T) {
	for name, c := range map[string]struct {
		arrives                clock.Millis
		promisesThoughProposed bool
		ignoresTicket          bool
		wantTwo                bool
	}{
		"while its ticket is good":            {arrives: 300},
		"after its ticket ran out":            {arrives: 420},
		"broken: promises though it proposed": {arrives: 300, promisesThoughProposed: true, wantTwo: true},
		"broken: leader ignores the ticket":   {arrives: 420, ignoresTicket: true, wantTwo: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			zone := registrar.Zone{Epoch: 1, Holder: "i0"}
			l := Leadership{Since: 1, Valid: true}
			leader := NewGranter("o0", testLease)
			holder := NewMachine("i0", testZone, names("i1"), testLease, -1000)
			other := NewMachine("i1", testZone, names("i0"), testLease, -1000)
			holder.Observe(zone)
			other.Observe(zone)
			holder.hold(1, 100, PriorUpstreams{})

			ask := Ask{AvailabilityZone: testZone, Prior: 1}
			actions := other.Asked(250, ask, leader.Ask(250, l, zone, ask))
			is.Equal(len(actions), 1) // the holder's lease lapsed while it was paused
			take := actions[0].(SendTake).Take
			if c.promisesThoughProposed {
				other.proposal = nil
			}
			// The ticket runs out at 360; the holder asks for a promise before
			// and after that.
			promise := func(at clock.Millis) {
				p := Promise{AvailabilityZone: testZone, Instance: "i0", Epoch: 1}
				holder.Promised(at, "i1", p, other.OnPromise(at, p))
			}
			promise(290)
			if c.arrives > 360 {
				for _, a := range other.Poll(365) {
					other.Settled(a.(Settle), true)
				}
				promise(370)
			}
			if c.ignoresTicket {
				take.Ticket.IssuedAt = c.arrives
			}
			if leader.Begin(c.arrives, l, zone, take) {
				other.proposal = &proposal{prior: 1}
				other.Taken(c.arrives-1, take, TakeReply{Taken: true, Epoch: 2})
			}
			_, first := holder.HoldsLease(c.arrives)
			_, second := other.HoldsLease(c.arrives)
			is.True(first || second) // the zone is served
			is.Equal(first && second, c.wantTwo)
		})
	}
}

// A handover that begins while a takeover is under way ends it too: whether the
// log or the answer tells first, the instance neither starts work nor renews.
func TestReleaseDuringATake(t *testing.T) {
	for name, tell := range map[string]func(m *Machine, take Take){
		"the log tells first": func(m *Machine, _ Take) {
			m.Observe(registrar.Zone{Epoch: 1, Holder: "i0"})
		},
		"the answer comes first": func(m *Machine, take Take) {
			m.Taken(20, take, TakeReply{Taken: true, Epoch: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine("i0", testZone, names("i1"), testLease, -1000)
			actions := m.Asked(10, Ask{AvailabilityZone: testZone}, AskReply{Lapsed: true})
			is.Equal(len(actions), 1)

			_, held := m.Release()
			is.True(!held) // there is nothing to hand over yet
			tell(m, actions[0].(SendTake).Take)
			_, may := m.HoldsLease(30)
			is.True(!may)
			is.Equal(len(m.Poll(10_000)), 0) // the lease lapses for a successor
		})
	}
}
