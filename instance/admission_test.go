package instance

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/unit"
)

// TestStrangersAreBoundedAtTheMesh guards against a stranger who makes a process hold memory by the
// length that a frame names, or holds all its connections: the connection is closed, and a peer is
// served afterwards.
func TestStrangersAreBoundedAtTheMesh(t *testing.T) {
	is := is.New(t)
	m, err := NewTCPMesh(TCPMeshConfig{ListenAddress: "127.0.0.1:0", MaxBytes: 1 << 20, MaxConnections: 8})
	is.NoErr(err)
	m.Handle("echo", func(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) { return body, nil })
	peer, err := NewTCPMesh(TCPMeshConfig{ListenAddress: "127.0.0.1:0"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return m.Run(ctx) })
	group.Go(func() error { return peer.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(group.Wait())
	}()
	var strangers []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", string(m.Self()))
		is.NoErr(err)
		strangers = append(strangers, c)
	}
	large := append(binary.BigEndian.AppendUint32(nil, MaxBodyBytes), make([]byte, 2<<20)...)
	for _, c := range strangers {
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		// The mesh may have closed the connection.
		_, _ = c.Write(large)
		_, err := c.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // the mesh has closed the connection
		is.NoErr(c.Close())
	}
	deadline, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	for range 100 {
		var reply []byte
		for reply == nil && deadline.Err() == nil {
			reply, _ = peer.Call(deadline, m.Self(), "echo", make([]byte, 100_000))
		}
		is.Equal(len(reply), 100_000)
	}
	used := func() unit.Bytes {
		m.admission.mu.Lock()
		defer m.admission.mu.Unlock()
		return m.admission.budget.Used()
	}
	for used() > 0 && deadline.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	is.Equal(used(), unit.Bytes(0)) // nothing is held after the last reply
}
