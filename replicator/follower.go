package replicator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
)

// Defaults of an Observer.
const (
	DefaultPoll = 300 * clock.Millisecond

	minRetry = 50 * clock.Millisecond
)

// ObserverConfig configures an Observer.
type ObserverConfig struct {
	// Fetch asks the leader, wherever it is now.
	Fetch        func(ctx context.Context, r FetchRequest) (FetchResponse, error)
	StateMachine StateMachine
	Clock        clock.Clock
	// Poll is how long the leader holds a request back while there is nothing
	// new; DefaultPoll if 0.
	Poll   clock.Millis
	Logger logrus.FieldLogger
}

// Observer keeps a StateMachine current on an instance that has no disk and no
// vote, by fetching what was committed.
type Observer struct {
	config  ObserverConfig
	stopped chan struct{}
	// group and applied are used by the loop only.
	group   GroupID
	applied Index

	mu    sync.Mutex
	fresh clock.Millis
	// rounds numbers the requests, done is the latest that made the state
	// fresh, and awaited is the latest that a barrier waits for.
	rounds  uint64
	done    uint64
	awaited uint64
	change  chan struct{}
	// cancel ends a request that the leader may hold back.
	cancel context.CancelFunc
}

// NewObserver returns a follower with an empty machine.
func NewObserver(c ObserverConfig) *Observer {
	if c.Poll == 0 {
		c.Poll = DefaultPoll
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	return &Observer{
		config:  c,
		stopped: make(chan struct{}),
		change:  make(chan struct{}),
	}
}

// Run fetches until ctx ends or the machine can't take a snapshot.
func (f *Observer) Run(ctx context.Context) error {
	defer close(f.stopped)
	for ctx.Err() == nil {
		err := f.round(ctx)
		switch {
		case err == nil:
		case errors.As(err, new(*restoreError)):
			return err
		default:
			f.config.Logger.WithError(err).Debug("fetching the log failed")
			pause(ctx, minRetry.Duration())
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

type restoreError struct{ cause error }

func (e *restoreError) Error() string { return "restoring a fetched snapshot: " + e.cause.Error() }

func (e *restoreError) Unwrap() error { return e.cause }

// round sends one request and applies the answer.
func (f *Observer) round(ctx context.Context) error {
	sub, cancel := context.WithCancel(ctx)
	defer cancel()
	number, wait := f.begin(cancel)
	sentAt := f.config.Clock.Now()
	b, err := f.config.Fetch(sub, FetchRequest{Group: f.group, From: f.applied + 1, Wait: wait})
	if err != nil {
		if sub.Err() != nil {
			// A barrier ended the long poll.
			return nil
		}
		return err
	}
	if err := f.apply(b); err != nil {
		return err
	}
	if b.Fresh && f.applied >= b.Commit {
		f.noteFresh(number, sentAt)
	}
	return nil
}

// begin numbers a round. While a barrier waits, the leader isn't asked to hold
// the request back.
func (f *Observer) begin(cancel context.CancelFunc) (number uint64, wait clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds++
	if f.awaited > f.done {
		f.cancel = nil
		return f.rounds, 0
	}
	f.cancel = cancel
	return f.rounds, f.config.Poll
}

func (f *Observer) apply(b FetchResponse) error {
	if f.group != "" && b.Group != f.group {
		return errors.Newf("the log now belongs to group %s, the state here to group %s", b.Group, f.group)
	}
	if s := b.Snapshot; s != nil && s.Index > f.applied {
		if err := f.config.StateMachine.Restore(s.Data); err != nil {
			return &restoreError{cause: err}
		}
		f.applied = s.Index
	}
	f.group = b.Group
	for _, e := range b.Entries {
		if e.Index <= f.applied {
			continue
		}
		if e.Index != f.applied+1 {
			return errors.Newf("fetched entry %d after entry %d", e.Index, f.applied)
		}
		if e.Kind == KindCommand {
			f.config.StateMachine.Apply(e.Index, e.Data)
		}
		f.applied = e.Index
	}
	return nil
}

// noteFresh notes that everything that was committed when the round's request
// was sent is applied. The time of sending counts, so a slow answer makes the
// state no fresher than it is.
func (f *Observer) noteFresh(round uint64, sentAt clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh = max(f.fresh, sentAt)
	f.done = round
	close(f.change)
	f.change = make(chan struct{})
}

// FreshAt returns the latest time for which all that was committed then is
// known to be applied here; 0 if none.
func (f *Observer) FreshAt() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// Barrier returns once everything that was committed when it was called is
// applied here.
func (f *Observer) Barrier(ctx context.Context) error {
	f.mu.Lock()
	target := f.rounds + 1
	f.awaited = max(f.awaited, target)
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
	f.mu.Unlock()
	for {
		f.mu.Lock()
		done, change := f.done, f.change
		f.mu.Unlock()
		if done >= target {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		case <-f.stopped:
			return ErrStopped
		}
	}
}
