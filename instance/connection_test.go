package instance

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/unit"
)

// TestReplyThatIsThereIsTaken ends calls whose time is over when their replies have
// come.
func TestReplyThatIsThereIsTaken(t *testing.T) {
	is := is.New(t)
	w := &wire{pending: map[uint64]chan wireFrame{}, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	reply := make(chan wireFrame, 1)
	w.pending[7] = reply
	w.take(wireFrame{kind: wireReply, id: 7, body: []byte("done")})
	f, err := w.abandon(7, reply, context.DeadlineExceeded)
	is.NoErr(err)
	is.Equal(string(f.body), "done")

	w.pending[8] = reply
	_, err = w.abandon(8, reply, context.DeadlineExceeded)
	is.Equal(err, context.DeadlineExceeded)
	is.Equal(len(w.pending), 0)
}

// TestFramesKeepTheirBytes sends frames while an earlier write is under way, after
// the writer was woken for nothing, as happens when two frames were sent at once.
func TestFramesKeepTheirBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		mesh := &TCPMesh{handlers: map[Method]Handler{}}
		mesh.ctx, mesh.stop = context.WithCancel(context.Background())
		w := mesh.newWire(near, "peer")
		mesh.group.Go(w.write)
		frames := bufio.NewReader(far)
		exchange := func(bodies ...string) {
			for _, b := range bodies {
				w.send(wireFrame{kind: wireNote, method: "m", body: []byte(b)})
				synctest.Wait()
			}
			for _, b := range bodies {
				f, err := readWire(frames)
				is.NoErr(err)
				is.Equal(string(f.body), b)
			}
			synctest.Wait()
		}
		long := strings.Repeat("a", 100)
		exchange(long)
		w.wake <- struct{}{}
		synctest.Wait()
		exchange(strings.Repeat("b", 100), strings.Repeat("c", 100), strings.Repeat("d", 100))
		w.close(context.Canceled)
		is.NoErr(far.Close())
		is.NoErr(mesh.group.Wait())
	})
}

// TestHandlerThatRanOutOfTimeRepliesNothing: whoever called may not take the end of the
// handler's time for an answer, since what it did isn't known.
func TestHandlerThatRanOutOfTimeRepliesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mesh := &TCPMesh{ctx: context.Background(), handlers: map[Method]Handler{
			"hang": func(ctx context.Context, _ unit.Instance, _ []byte) ([]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			"fail": func(context.Context, unit.Instance, []byte) ([]byte, error) { return nil, errors.New("no") },
		}}
		w := &wire{mesh: mesh, wake: make(chan struct{}, 1)}
		w.answer(wireFrame{kind: wireCall, id: 1, timeout: 50, method: "hang"})
		is.Equal(len(w.queue), 0)
		w.answer(wireFrame{kind: wireCall, id: 2, timeout: 50, method: "fail"})
		is.True(len(w.queue) > 0)
	})
}
