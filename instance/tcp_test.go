package instance_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// startTCP runs a mesh on a free port until the test ends.
func startTCP(t *testing.T, handlers map[instance.Method]instance.Handler) *instance.TCPMesh {
	t.Helper()
	m, err := instance.NewTCPMesh(instance.TCPMeshConfig{ListenAddress: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	for method, h := range handlers {
		m.Handle(method, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return m
}

func TestTCPCallsAndErrors(t *testing.T) {
	is := is.New(t)
	a := startTCP(t, map[instance.Method]instance.Handler{"echo": echo})
	b := startTCP(t, map[instance.Method]instance.Handler{
		"echo": echo,
		"fail": func(context.Context, unit.Instance, []byte) ([]byte, error) { return nil, errors.New("no") },
		"hang": func(ctx context.Context, _ unit.Instance, _ []byte) ([]byte, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, to := range []unit.Instance{a.Self(), b.Self()} {
		answer, err := a.Call(ctx, to, "echo", []byte("hello"))
		is.NoErr(err)
		is.True(strings.HasSuffix(string(answer), "hello"))
	}
	_, err := a.Call(ctx, b.Self(), "fail", nil)
	is.True(errors.As(err, new(*instance.RemoteError)))
	_, err = a.Call(ctx, b.Self(), "missing", nil)
	call := new(instance.CallError)
	is.True(errors.As(err, &call))
	is.True(!call.MaybeDelivered)

	short, end := context.WithTimeout(ctx, 50*time.Millisecond)
	defer end()
	_, err = a.Call(short, b.Self(), "hang", nil)
	is.True(errors.As(err, &call))
	is.True(call.MaybeDelivered) // the peer may have handled it
}

func TestTCPRefusedConnectionIsNotDelivered(t *testing.T) {
	is := is.New(t)
	a := startTCP(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unused := unit.Instance(l.Addr().String())
	is.NoErr(l.Close())
	_, err = a.Call(context.Background(), unused, "echo", nil)
	call := new(instance.CallError)
	is.True(errors.As(err, &call))
	is.True(!call.MaybeDelivered)
}

func TestTCPMessagesArriveInOrder(t *testing.T) {
	is := is.New(t)
	got := make(chan byte, 100)
	b := startTCP(t, map[instance.Method]instance.Handler{
		"echo": echo,
		"message": func(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
			got <- body[0]
			return nil, nil
		},
	})
	a := startTCP(t, nil)
	// Messages are dropped until there is a connection.
	_, err := a.Call(context.Background(), b.Self(), "echo", nil)
	is.NoErr(err)
	for i := range 100 {
		a.Send(b.Self(), "message", []byte{byte(i)})
	}
	for i := range 100 {
		is.Equal(<-got, byte(i))
	}
}

// TestTCPSilentPeerIsDisconnected connects to a listener that accepts connections
// but never answers, like a connection that broke without a reset.
func TestTCPSilentPeerIsDisconnected(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	a := startTCP(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err = a.Call(ctx, unit.Instance(l.Addr().String()), "echo", nil)
	call := new(instance.CallError)
	is.True(errors.As(err, &call))
	is.True(call.MaybeDelivered)
	is.NoErr(ctx.Err()) // tcpIdleTimeout ended the call, not its deadline
}

func TestTCPMalformedFramesCloseOnlyTheirConnection(t *testing.T) {
	is := is.New(t)
	b := startTCP(t, map[instance.Method]instance.Handler{"echo": echo})
	for name, data := range map[string][]byte{
		"too long":                     {0xff, 0xff, 0xff, 0xff, 1},
		"too short":                    {0, 0, 0, 1, 1},
		"method longer than the frame": {0, 0, 0, 14, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", string(b.Self()))
			is.NoErr(err)
			defer c.Close()
			_, err = c.Write(data)
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
			_, err = c.Read(make([]byte, 1))
			is.True(err != nil)
			is.True(!errors.Is(err, context.DeadlineExceeded))
		})
	}
	a := startTCP(t, nil)
	_, err := a.Call(context.Background(), b.Self(), "echo", nil)
	is.NoErr(err)
}
