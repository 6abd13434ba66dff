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
	DefaultFetchWait = 300 * clock.Millisecond

	retryDelay = 50 * clock.Millisecond
)

// ObserverConfig configures an Observer.
type ObserverConfig struct {
	// Fetch sends a request to the current leader.
	Fetch        func(ctx context.Context, r FetchRequest) (FetchResponse, error)
	StateMachine StateMachine
	Clock        clock.Clock
	// FetchWait is how long the leader waits for a new entry before it answers a
	// request; DefaultFetchWait if 0.
	FetchWait clock.Millis
	Logger    logrus.FieldLogger
}

// Observer keeps a StateMachine up to date on an instance that has no disk and no
// vote, by fetching committed entries. It implements the Barrier and FreshAt
// methods of Log.
type Observer struct {
	config  ObserverConfig
	stopped chan struct{}
	// group and applied are only used by Run.
	group   GroupID
	applied Index

	mu      sync.Mutex
	freshAt clock.Millis
	// lastRequest is the number of the last request, lastFreshRequest that of
	// the last one whose response made the state fresh, and awaitedRequest the
	// highest that a barrier waits for.
	lastRequest      uint64
	lastFreshRequest uint64
	awaitedRequest   uint64
	change           chan struct{}
	// cancel cancels the current request if the leader may delay its response; nil
	// otherwise.
	cancel context.CancelFunc
}

// NewObserver returns an observer whose state machine must be empty.
func NewObserver(c ObserverConfig) *Observer {
	if c.FetchWait == 0 {
		c.FetchWait = DefaultFetchWait
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

// Run fetches and applies entries until ctx ends. It returns an error only if the
// state machine can't restore a snapshot. Run must be called once.
func (o *Observer) Run(ctx context.Context) error {
	defer close(o.stopped)
	for ctx.Err() == nil {
		err := o.fetchOnce(ctx)
		switch {
		case err == nil:
		case errors.As(err, new(*restoreError)):
			return err
		default:
			o.config.Logger.WithError(err).Debug("fetching the log failed")
			pause(ctx, retryDelay.Duration())
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

// fetchOnce sends one request and applies the response.
func (o *Observer) fetchOnce(ctx context.Context) error {
	sub, cancel := context.WithCancel(ctx)
	defer cancel()
	number, wait := o.beginRequest(cancel)
	sentAt := o.config.Clock.Now()
	response, err := o.config.Fetch(sub, FetchRequest{Group: o.group, From: o.applied + 1, Wait: wait})
	if err != nil {
		if sub.Err() != nil {
			// A barrier cancelled the long poll, or ctx ended.
			return nil
		}
		return err
	}
	if err := o.apply(response); err != nil {
		return err
	}
	if response.Fresh && o.applied >= response.Commit {
		o.recordFreshness(number, sentAt)
	}
	return nil
}

// beginRequest returns the number of the next request and how long the leader may
// wait before it answers: not at all while a barrier waits.
func (o *Observer) beginRequest(cancel context.CancelFunc) (number uint64, wait clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastRequest++
	if o.awaitedRequest > o.lastFreshRequest {
		o.cancel = nil
		return o.lastRequest, 0
	}
	o.cancel = cancel
	return o.lastRequest, o.config.FetchWait
}

func (o *Observer) apply(response FetchResponse) error {
	if o.group != "" && response.Group != o.group {
		return errors.Newf("the log now belongs to group %s, the state here to group %s", response.Group, o.group)
	}
	if s := response.Snapshot; s != nil && s.Index > o.applied {
		if err := o.config.StateMachine.Restore(s.Data); err != nil {
			return &restoreError{cause: err}
		}
		o.applied = s.Index
	}
	o.group = response.Group
	for _, e := range response.Entries {
		if e.Index <= o.applied {
			continue
		}
		if e.Index != o.applied+1 {
			return errors.Newf("fetched entry %d after entry %d", e.Index, o.applied)
		}
		if e.Kind == KindCommand {
			o.config.StateMachine.Apply(e.Index, e.Data)
		}
		o.applied = e.Index
	}
	return nil
}

// recordFreshness records that every entry that was committed when the request
// was sent is applied. The sending time counts, since entries may have been
// committed after the leader answered.
func (o *Observer) recordFreshness(number uint64, sentAt clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.freshAt = max(o.freshAt, sentAt)
	o.lastFreshRequest = number
	close(o.change)
	o.change = make(chan struct{})
}

// FreshAt returns the latest time such that every entry committed by that time is
// known to be applied here; 0 if there is none.
func (o *Observer) FreshAt() clock.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.freshAt
}

// Barrier returns once every entry that was committed when it was called is
// applied here. It returns the context's error if ctx ends before, and ErrStopped if
// Run ends before.
func (o *Observer) Barrier(ctx context.Context) error {
	o.mu.Lock()
	target := o.lastRequest + 1
	o.awaitedRequest = max(o.awaitedRequest, target)
	if o.cancel != nil {
		o.cancel()
		o.cancel = nil
	}
	o.mu.Unlock()
	for {
		o.mu.Lock()
		done, change := o.lastFreshRequest, o.change
		o.mu.Unlock()
		if done >= target {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		case <-o.stopped:
			return ErrStopped
		}
	}
}
