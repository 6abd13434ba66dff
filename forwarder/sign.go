package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// Times of the signs of life.
const (
	// attendEvery is the time between two signs of life to the holder.
	attendEvery = 250 * clock.Millisecond
	// attendOthers is the time between two signs of life to the instances that
	// may hold the domain next, while the holder answers. They remember who is
	// there for longer than that.
	attendOthers = 1 * clock.Second
	// attendSearch is the wait between them while no holder answers.
	attendSearch = 50 * clock.Millisecond
	// attendRound bounds the wait for the answers of a round; a round trip takes
	// a few milliseconds.
	attendRound = 200 * clock.Millisecond
	// attendTimeout bounds a sign of life itself. A holder that is behind answers
	// late, and is there nevertheless.
	attendTimeout = 3 * clock.Second
)

// Run attends at the holder and at the instances that may hold the domain next
// until ctx ends, so that a new holder is known as soon as any of them knows it.
func (f *Forwarder) Run(ctx context.Context) error {
	defer close(f.done)
	defer f.signs.Wait()
	for ctx.Err() == nil {
		wait := attendEvery
		if !f.attend(ctx) {
			wait = attendSearch
		}
		_ = clock.Sleep(ctx, wait)
	}
	return nil
}

// attend goes one round and reports whether the holder answered.
func (f *Forwarder) attend(ctx context.Context) bool {
	sign := f.cfg.Heartbeat
	sign.From = f.cfg.Self
	if f.cfg.BootTime != nil {
		sign.BootTime = f.cfg.BootTime()
	}
	body := planner.EncodeRequest(sign)
	free := f.attended()
	answers := make(chan bool, len(free))
	for _, to := range free {
		f.signs.Go(func() { answers <- f.sign(ctx, to, body) })
	}
	round := time.NewTimer(attendRound.Duration())
	defer round.Stop()
	found := false
	for range free {
		select {
		case holds := <-answers:
			found = found || holds
			continue
		case <-round.C:
		case <-ctx.Done():
		}
		break
	}
	f.found = found
	f.noteLoss()
	return found
}

// attended returns the instances that the next round goes to: the holder, and the
// others too if it didn't answer the last one or from time to time.
func (f *Forwarder) attended() []unit.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := !f.found || f.cfg.Clock.Now()-f.othersAt >= attendOthers
	if all {
		f.othersAt = f.cfg.Clock.Now()
	}
	var free []unit.Instance
	for _, id := range f.known {
		if !f.attending[id] && (all || id == f.holder) {
			f.attending[id] = true
			free = append(free, id)
		}
	}
	return free
}

// sign sends a sign of life to one instance and reports whether it holds the
// domain.
func (f *Forwarder) sign(ctx context.Context, to unit.Instance, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, attendTimeout.Duration())
	defer cancel()
	r, err := f.call(ctx, to, body)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attending, to)
	if err != nil || r.Code != planner.OK {
		return false
	}
	f.bounds = r.HTTPLimits
	return true
}

// noteLoss ends the tries under way once no holder has answered for too long. A
// caller that waits on could only lose the time in which others may serve it.
func (f *Forwarder) noteLoss() {
	f.mu.Lock()
	defer f.mu.Unlock()
	silence := f.cfg.Clock.Now() - max(f.reach, f.since)
	if f.lost || silence < lostAfter {
		return
	}
	f.lost = true
	f.renewEpoch()
	if f.cfg.Logger != nil {
		f.cfg.Logger.WithFields(logrus.Fields{"SilentMillis": int64(silence), "Asked": f.known}).Warn("lost the holder of the domain; requests are refused")
	}
}

// isLost reports whether no holder has answered for too long.
func (f *Forwarder) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}
