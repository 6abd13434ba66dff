package worker

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

const lease = 3 * clock.Second

func order(id unit.Task, epoch unit.Epoch) dispatcher.StartOrder {
	return dispatcher.StartOrder{Task: id, Epoch: epoch, Lease: lease, Expiry: clock.Second, Need: unit.Resources{Slots: 1}}
}

func withNeed(o dispatcher.StartOrder, slots unit.Count) dispatcher.StartOrder {
	o.Need.Slots = slots
	return o
}

func TestStartDecisions(t *testing.T) {
	tests := map[string]struct {
		before func(*table)
		order  dispatcher.StartOrder
		delay  clock.Millis
		want   decision
	}{
		"fits": {order: order("t1", 1), want: run{}},
		"older epoch": {
			before: func(tb *table) { tb.epoch = 2 },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "epoch 1 is older than 2", Epoch: 2}},
		},
		"expired": {order: order("t1", 1), delay: 1001, want: refuse{dispatcher.Refused{Detail: "the order came 1001ms after it was sent, allowed were 1000ms"}}},
		"for another incarnation": {
			order: func() dispatcher.StartOrder { o := order("t1", 1); o.Incarnation = "old"; return o }(),
			want:  refuse{dispatcher.Refused{Detail: "the order is for incarnation old"}},
		},
		"based on a recent report": {
			before: func(tb *table) { tb.buildReport(dispatcher.Report{}, -990) },
			order:  func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 1; return o }(),
			want:   run{},
		},
		"based on an old report": {
			before: func(tb *table) { tb.buildReport(dispatcher.Report{}, -991) },
			order:  func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 1; return o }(),
			want:   refuse{dispatcher.Refused{Detail: "the order was made from a report that is too old by now"}},
		},
		"based on a report that was never sent": {
			order: func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 9; return o }(),
			want:  refuse{dispatcher.Refused{Detail: "the order was made from a report that is too old by now"}},
		},
		"no lease": {order: dispatcher.StartOrder{Task: "t1"}, want: refuse{dispatcher.Refused{Detail: "the order has no lease"}}},
		"need above capacity": {
			order: withNeed(order("t1", 1), 3),
			want:  refuse{dispatcher.Refused{Detail: "the upstream has no room"}},
		},
		"no free capacity": {
			before: func(tb *table) { tb.start(withNeed(order("t0", 1), 2), 0, 0) },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "the upstream has no room", Epoch: 1}},
		},
		"draining": {
			before: func(tb *table) { tb.draining = true },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "the upstream departs"}},
		},
		"repeated while it runs": {
			before: func(tb *table) { tb.start(order("t1", 1), 0, 0) },
			order:  order("t1", 1),
			want:   join{},
		},
		"repeated after its end": {
			before: func(tb *table) {
				tb.start(order("t1", 1), 0, 0)
				tb.endTask("t1", dispatcher.Done{}, 1)
			},
			order: order("t1", 1),
			want:  alreadyEnded{dispatcher.Ended{Task: "t1"}},
		},
		"repeated after its end was acknowledged": {
			before: func(tb *table) {
				tb.start(order("t1", 1), 0, 0)
				tb.endTask("t1", dispatcher.Done{}, 1)
				tb.applyReply(dispatcher.Report{}, dispatcher.ReportReply{Epoch: 1, Forget: []unit.Task{"t1"}}, 2, 2)
			},
			order: order("t1", 1),
			want:  endAcknowledged{},
		},
		"repeated after a refusal": {
			before: func(tb *table) { tb.start(withNeed(order("t1", 1), 3), 0, 0) },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "the upstream has no room"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable(unit.Resources{Slots: 2}, "now")
			if test.before != nil {
				test.before(&tb)
			}
			is.Equal(tb.start(test.order, test.delay, 10), test.want)
		})
	}
}

func TestLeases(t *testing.T) {
	const sentAt = clock.Second
	report := func(tb *table) dispatcher.Report { return tb.buildReport(dispatcher.Report{}, 0) }
	tests := map[string]struct {
		reply func(tb *table)
		// at is when the leases are checked.
		at      clock.Millis
		expired bool
	}{
		"not renewed, before expiry": {at: lease - 1},
		"not renewed, at expiry":     {at: lease, expired: true},
		"renewed from the time the report was sent": {
			reply: func(tb *table) {
				tb.applyReply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, 2*sentAt)
			},
			at: sentAt + lease - 1,
		},
		"renewed, at expiry": {
			reply: func(tb *table) {
				tb.applyReply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, 2*sentAt)
			},
			at:      sentAt + lease,
			expired: true,
		},
		"renewed by an older epoch": {
			reply: func(tb *table) {
				tb.applyReply(report(tb), dispatcher.ReportReply{Epoch: 0, Lease: lease}, sentAt, sentAt)
			},
			at:      lease,
			expired: true,
		},
		"renewed after expiry": {
			reply: func(tb *table) {
				tb.applyReply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, lease)
			},
			at:      lease,
			expired: true,
		},
		"not listed in the report": {
			reply: func(tb *table) {
				tb.applyReply(dispatcher.Report{}, dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, sentAt)
			},
			at:      lease,
			expired: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable(unit.Resources{Slots: 2}, "now")
			tb.start(order("t1", 1), 0, 0)
			if test.reply != nil {
				test.reply(&tb)
			}
			is.Equal(len(tb.expire(test.at)) == 1, test.expired)
			e := tb.endTask("t1", dispatcher.Done{Answer: []byte("x")}, test.at)
			is.Equal(e.Stopped, test.expired)
			is.Equal(tb.free, tb.capacity)
		})
	}
}

func TestStopOrderInReply(t *testing.T) {
	is := is.New(t)
	tb := newTable(unit.Resources{Slots: 2}, "now")
	tb.start(order("t1", 1), 0, 0)
	sent := tb.buildReport(dispatcher.Report{}, 0)
	stop := dispatcher.ReportReply{Epoch: 3, Lease: lease, Stop: []dispatcher.StopOrder{{Task: "t1", Checkpoint: true}, {Task: "t2"}}}
	is.Equal(tb.applyReply(sent, stop, 1, 2), []unit.Task{"t1"})
	// The task keeps its resources until it has ended.
	is.Equal(tb.free, unit.Resources{Slots: 1})
	e := tb.endTask("t1", dispatcher.Done{}, 3)
	is.True(e.Stopped && e.Checkpointed)
	is.Equal(tb.start(order("t3", 2), 0, 4), refuse{dispatcher.Refused{Detail: "epoch 2 is older than 3", Epoch: 3}})
}
