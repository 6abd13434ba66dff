package instance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const loopback = "127.0.0.1:0"

// testTimeout bounds the waits of tests; it expires only if a test fails.
const testTimeout = 20 * time.Second

// echo answers with the name of the calling peer and the body.
func echo(_ context.Context, from unit.Instance, body []byte) ([]byte, error) {
	return fmt.Appendf(nil, "%s: %s", from, body), nil
}

// start runs a mesh on a free port until the test ends.
func start(t testing.TB, creds instance.Credentials, self unit.Instance, peers map[unit.Instance]string, handlers map[instance.Method]instance.Handler) *instance.Mesh {
	t.Helper()
	return startWith(t, instance.Config{Self: self, ListenAddress: loopback, Peers: peers, Credentials: creds}, handlers)
}

func startWith(t testing.TB, cfg instance.Config, handlers map[instance.Method]instance.Handler) *instance.Mesh {
	t.Helper()
	m, err := instance.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for method, h := range handlers {
		m.Handle(method, h)
	}
	var group errgroup.Group
	group.Go(func() error { return m.Run(context.Background()) })
	t.Cleanup(func() {
		if err := errors.CombineErrors(m.Close(), group.Wait()); err != nil {
			t.Error(err)
		}
	})
	return m
}

// eventually repeats f until it returns nil.
func eventually(t testing.TB, f func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	pause := time.NewTicker(5 * time.Millisecond)
	defer pause.Stop()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			t.Fatal(err)
		}
	}
}

func authority(t testing.TB) *certifier.Authority {
	t.Helper()
	a, err := certifier.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func credentials(t testing.TB, a *certifier.Authority, id unit.Instance) instance.Credentials {
	t.Helper()
	c, err := a.IssueEphemeral(id)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestRunAfterCloseReturnsNil guards against an error from a shutdown that calls
// Close before the goroutine of Run is scheduled: the process would report a
// failure although it ended in order.
func TestRunAfterCloseReturnsNil(t *testing.T) {
	is := is.New(t)
	m, err := instance.New(instance.Config{Self: "a", ListenAddress: loopback, Credentials: credentials(t, authority(t), "a")})
	is.NoErr(err)
	is.NoErr(m.Close())
	is.NoErr(m.Run(t.Context()))
	is.NoErr(m.Close()) // a second Close isn't an error either
}

func TestAnswersBelongToTheirCalls(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	handlers := map[instance.Method]instance.Handler{"Echo": echo}
	b := start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, handlers)
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, handlers)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var group errgroup.Group
	for i := range 200 {
		group.Go(func() error {
			got, err := a.Call(ctx, "b", "Echo", fmt.Append(nil, i))
			if want := fmt.Sprintf("a: %d", i); err == nil && string(got) != want {
				return errors.Newf("got %q, want %q", got, want)
			}
			return err
		})
	}
	is.NoErr(group.Wait())
	got, err := b.Call(ctx, "a", "Echo", []byte("back over the same connection"))
	is.NoErr(err)
	is.Equal(string(got), "b: back over the same connection")
	is.Equal(a.Reachable(), map[unit.Instance]bool{"b": true})
}

// TestConnectionsBeyondTheBoundAreRefused guards against strangers who hold any number of
// connections, and against a bound that ended connections still count for.
func TestConnectionsBeyondTheBoundAreRefused(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	b := startWith(t, instance.Config{
		Self: "b", ListenAddress: loopback, Credentials: credentials(t, ca, "b"), MaxConnections: 1,
		Peers: map[unit.Instance]string{"a": loopback, "c": loopback},
	}, map[instance.Method]instance.Handler{"Echo": echo})
	peers := map[unit.Instance]string{"b": b.Addr()}
	call := func(m *instance.Mesh) error {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := m.Call(ctx, "b", "Echo", nil)
		return err
	}
	a := start(t, credentials(t, ca, "a"), "a", peers, nil)
	eventually(t, func() error { return call(a) })
	c := start(t, credentials(t, ca, "c"), "c", peers, nil)
	is.True(call(c) != nil)
	is.NoErr(a.Close())
	eventually(t, func() error { return call(c) })
}
