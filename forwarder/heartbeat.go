package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// Times of the heartbeats.
const (
	// heartbeatInterval is the time between two heartbeats to the leader.
	heartbeatInterval = 250 * clock.Millisecond
	// fullRoundInterval is the time between two heartbeats to the other candidates
	// while the leader answers. They remember heartbeats for longer than that.
	fullRoundInterval = 1 * clock.Second
	// searchInterval is the wait between two rounds while no leader answers.
	searchInterval = 50 * clock.Millisecond
	// roundTimeout bounds the wait for the answers of one round. A round trip takes
	// a few milliseconds.
	roundTimeout = 200 * clock.Millisecond
	// heartbeatTimeout bounds a single heartbeat. It is longer than roundTimeout,
	// since a leader that is behind answers late but is still the leader.
	heartbeatTimeout = 3 * clock.Second
)

// Run sends heartbeats to the leader and to the other candidates until ctx is done,
// so that a new leader is known as soon as any candidate knows it.
func (f *Forwarder) Run(ctx context.Context) error {
	defer close(f.done)
	defer f.heartbeats.Wait()
	for ctx.Err() == nil {
		wait := heartbeatInterval
		if !f.sendHeartbeats(ctx) {
			wait = searchInterval
		}
		_ = clock.Sleep(ctx, wait)
	}
	return nil
}

// sendHeartbeats sends one round of heartbeats and reports whether the leader
// answered within roundTimeout.
func (f *Forwarder) sendHeartbeats(ctx context.Context) bool {
	heartbeat := f.cfg.Heartbeat
	heartbeat.From = f.cfg.Self
	if f.cfg.BootTime != nil {
		heartbeat.BootTime = f.cfg.BootTime()
	}
	body := planner.EncodeRequest(heartbeat)
	recipients := f.takeRecipients()
	answers := make(chan bool, len(recipients))
	for _, to := range recipients {
		f.heartbeats.Go(func() { answers <- f.sendHeartbeat(ctx, to, body) })
	}
	timeout := time.NewTimer(roundTimeout.Duration())
	defer timeout.Stop()
	leaderAnswered := false
	for range recipients {
		select {
		case isLeader := <-answers:
			leaderAnswered = leaderAnswered || isLeader
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	f.leaderAnswered = leaderAnswered
	f.checkLeaderContact()
	return leaderAnswered
}

// takeRecipients returns the instances that the next round of heartbeats is sent to,
// and adds them to awaiting. These are the leader and, once per fullRoundInterval or
// if the leader didn't answer the last round, all other candidates. Instances that
// haven't answered an earlier heartbeat are left out.
func (f *Forwarder) takeRecipients() []unit.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	fullRound := !f.leaderAnswered || f.cfg.Clock.Now()-f.lastFullRound >= fullRoundInterval
	if fullRound {
		f.lastFullRound = f.cfg.Clock.Now()
	}
	var recipients []unit.Instance
	for _, id := range f.candidates {
		if !f.awaiting[id] && (fullRound || id == f.leader) {
			f.awaiting[id] = true
			recipients = append(recipients, id)
		}
	}
	return recipients
}

// sendHeartbeat sends a heartbeat to one instance and reports whether it answered as
// the leader.
func (f *Forwarder) sendHeartbeat(ctx context.Context, to unit.Instance, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	defer cancel()
	reply, err := f.call(ctx, to, body)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.awaiting, to)
	if err != nil || reply.Code != planner.OK {
		return false
	}
	f.httpLimits = reply.HTTPLimits
	return true
}

// checkLeaderContact marks the leader as unreachable and cancels pending attempts once
// no leader has answered for leaderUnreachableAfter. Callers then still have time to
// go to another instance.
func (f *Forwarder) checkLeaderContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := f.cfg.Clock.Now() - max(f.lastLeaderReply, f.startedAt)
	if f.leaderUnreachable || silent < leaderUnreachableAfter {
		return
	}
	f.leaderUnreachable = true
	f.cancelAttempts()
	if f.cfg.Logger != nil {
		f.cfg.Logger.WithFields(logrus.Fields{"SilentMillis": int64(silent), "Asked": f.candidates}).Warn("leader is unreachable; refusing requests")
	}
}

// isLeaderUnreachable reports whether no leader has answered for
// leaderUnreachableAfter.
func (f *Forwarder) isLeaderUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderUnreachable
}
