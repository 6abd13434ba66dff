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

// TestReplyThatArrivedAtTheDeadlineIsReturned guards against failing a call whose
// reply arrived before the waiting goroutine noticed the end of its context.
func TestReplyThatArrivedAtTheDeadlineIsReturned(t *testing.T) {
	is := is.New(t)
	conn := &tcpConn{pending: map[uint64]chan tcpFrame{}, done: make(chan struct{}), writeReady: make(chan struct{}, 1)}
	reply := make(chan tcpFrame, 1)
	conn.pending[7] = reply
	conn.handleFrame(tcpFrame{kind: kindReply, id: 7, body: []byte("done")})
	f, err := conn.stopWaiting(7, reply, context.DeadlineExceeded)
	is.NoErr(err)
	is.Equal(string(f.body), "done")

	conn.pending[8] = reply
	_, err = conn.stopWaiting(8, reply, context.DeadlineExceeded)
	is.Equal(err, context.DeadlineExceeded)
	is.Equal(len(conn.pending), 0)
}

// TestFramesAreNotOverwrittenWhileBeingWritten sends frames during an earlier write,
// after the writer was woken with an empty queue, as happens if two frames are sent
// at the same time. The writer then must not use its spare buffer twice.
func TestFramesAreNotOverwrittenWhileBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		mesh := &TCPMesh{handlers: map[Method]Handler{}}
		mesh.ctx, mesh.stop = context.WithCancel(context.Background())
		conn := mesh.newConn(near, "peer")
		mesh.group.Go(conn.write)
		frames := bufio.NewReader(far)
		exchange := func(bodies ...string) {
			for _, b := range bodies {
				conn.send(tcpFrame{kind: kindMessage, method: "m", body: []byte(b)})
				synctest.Wait()
			}
			for _, b := range bodies {
				f, err := readTCPFrame(frames, nil)
				is.NoErr(err)
				is.Equal(string(f.body), b)
			}
			synctest.Wait()
		}
		long := strings.Repeat("a", 100)
		exchange(long)
		conn.writeReady <- struct{}{}
		synctest.Wait()
		exchange(strings.Repeat("b", 100), strings.Repeat("c", 100), strings.Repeat("d", 100))
		conn.close(context.Canceled)
		is.NoErr(far.Close())
		is.NoErr(mesh.group.Wait())
	})
}

// TestHandlerThatRanOutOfTimeSendsNoReply guards against reporting a definite failure
// to the caller if the handler's deadline passed: it isn't known what the handler
// did.
func TestHandlerThatRanOutOfTimeSendsNoReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mesh := &TCPMesh{ctx: context.Background(), handlers: map[Method]Handler{
			"hang": func(ctx context.Context, _ unit.Instance, _ []byte) ([]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			"fail": func(context.Context, unit.Instance, []byte) ([]byte, error) { return nil, errors.New("no") },
		}}
		conn := &tcpConn{mesh: mesh, writeReady: make(chan struct{}, 1)}
		conn.serveCall(tcpFrame{kind: kindCall, id: 1, timeout: 50, method: "hang"})
		is.Equal(len(conn.queue), 0)
		conn.serveCall(tcpFrame{kind: kindCall, id: 2, timeout: 50, method: "fail"})
		is.True(len(conn.queue) > 0)
	})
}
