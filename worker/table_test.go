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

func TestStart(t *testing.T) {
	tests := map[string]struct {
		before func(*table)
		order  dispatcher.StartOrder
		waited clock.Millis
		want   decision
	}{
		"fits": {order: order("t1", 1), want: run{}},
		"older epoch": {
			before: func(tb *table) { tb.epoch = 2 },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "epoch 1 is older than 2", Epoch: 2}},
		},
		"late": {order: order("t1", 1), waited: 1001, want: refuse{dispatcher.Refused{Detail: "the order came 1001ms after it was sent, allowed were 1000ms"}}},
		"of another incarnation": {
			order: func() dispatcher.StartOrder { o := order("t1", 1); o.Incarnation = "old"; return o }(),
			want:  refuse{dispatcher.Refused{Detail: "the order is for incarnation old"}},
		},
		"from a recent report": {
			before: func(tb *table) { tb.report(dispatcher.Report{}, -990) },
			order:  func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 1; return o }(),
			want:   run{},
		},
		"from an old report": {
			before: func(tb *table) { tb.report(dispatcher.Report{}, -991) },
			order:  func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 1; return o }(),
			want:   refuse{dispatcher.Refused{Detail: "the order was made from a report that is too old by now"}},
		},
		"from a report that was never sent": {
			order: func() dispatcher.StartOrder { o := order("t1", 1); o.Sequence = 9; return o }(),
			want:  refuse{dispatcher.Refused{Detail: "the order was made from a report that is too old by now"}},
		},
		"no lease": {order: dispatcher.StartOrder{Task: "t1"}, want: refuse{dispatcher.Refused{Detail: "the order has no lease"}}},
		"too large": {
			order: withNeed(order("t1", 1), 3),
			want:  refuse{dispatcher.Refused{Detail: "the upstream has no room"}},
		},
		"full": {
			before: func(tb *table) { tb.start(withNeed(order("t0", 1), 2), 0, 0) },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "the upstream has no room", Epoch: 1}},
		},
		"departing": {
			before: func(tb *table) { tb.departing = true },
			order:  order("t1", 1),
			want:   refuse{dispatcher.Refused{Detail: "the upstream departs"}},
		},
		"doubled while it runs": {
			before: func(tb *table) { tb.start(order("t1", 1), 0, 0) },
			order:  order("t1", 1),
			want:   join{},
		},
		"doubled after its end": {
			before: func(tb *table) {
				tb.start(order("t1", 1), 0, 0)
				tb.end("t1", dispatcher.Done{}, 1)
			},
			order: order("t1", 1),
			want:  answered{dispatcher.Ended{Task: "t1"}},
		},
		"doubled after its end was taken": {
			before: func(tb *table) {
				tb.start(order("t1", 1), 0, 0)
				tb.end("t1", dispatcher.Done{}, 1)
				tb.reply(dispatcher.Report{}, dispatcher.ReportReply{Epoch: 1, Forget: []unit.Task{"t1"}}, 2, 2)
			},
			order: order("t1", 1),
			want:  forgotten{},
		},
		"doubled after a refusal": {
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
			is.Equal(tb.start(test.order, test.waited, 10), test.want)
		})
	}
}

func TestLeases(t *testing.T) {
	const sentAt = clock.Second
	report := func(tb *table) dispatcher.Report { return tb.report(dispatcher.Report{}, 0) }
	tests := map[string]struct {
		reply func(tb *table)
		// at is when the lease is looked at.
		at      clock.Millis
		expired bool
	}{
		"not renewed, before the end": {at: lease - 1},
		"not renewed, at the end":     {at: lease, expired: true},
		"renewed, counted from the sending of the report": {
			reply: func(tb *table) {
				tb.reply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, 2*sentAt)
			},
			at: sentAt + lease - 1,
		},
		"renewed, at the end": {
			reply: func(tb *table) {
				tb.reply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, 2*sentAt)
			},
			at:      sentAt + lease,
			expired: true,
		},
		"renewed by an older epoch": {
			reply:   func(tb *table) { tb.reply(report(tb), dispatcher.ReportReply{Epoch: 0, Lease: lease}, sentAt, sentAt) },
			at:      lease,
			expired: true,
		},
		"renewed after the end": {
			reply:   func(tb *table) { tb.reply(report(tb), dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, lease) },
			at:      lease,
			expired: true,
		},
		"not in the report": {
			reply: func(tb *table) {
				tb.reply(dispatcher.Report{}, dispatcher.ReportReply{Epoch: 1, Lease: lease}, sentAt, sentAt)
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
			e := tb.end("t1", dispatcher.Done{Answer: []byte("x")}, test.at)
			is.Equal(e.Stopped, test.expired)
			is.Equal(tb.free, tb.holds)
		})
	}
}

func TestStopByReply(t *testing.T) {
	is := is.New(t)
	tb := newTable(unit.Resources{Slots: 2}, "now")
	tb.start(order("t1", 1), 0, 0)
	sent := tb.report(dispatcher.Report{}, 0)
	stop := dispatcher.ReportReply{Epoch: 3, Lease: lease, Stop: []dispatcher.StopOrder{{Task: "t1", Checkpoint: true}, {Task: "t2"}}}
	is.Equal(tb.reply(sent, stop, 1, 2), []unit.Task{"t1"})
	// The task keeps its resources until it has ended.
	is.Equal(tb.free, unit.Resources{Slots: 1})
	e := tb.end("t1", dispatcher.Done{}, 3)
	is.True(e.Stopped && e.Checkpointed)
	is.Equal(tb.start(order("t3", 2), 0, 4), refuse{dispatcher.Refused{Detail: "epoch 2 is older than 3", Epoch: 3}})
}
