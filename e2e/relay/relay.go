// Package relay implements a UDP relay on loopback for tests. It forwards the
// datagrams between two processes and can drop those of either direction or both,
// like a network partition. The processes need no changes to use it.
package relay

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// maxDatagramBytes is the size of a buffer that fits any UDP datagram.
const maxDatagramBytes = 64 << 10

// socketBufferBytes is the size of the kernel's receive buffer of each socket. A
// small buffer could overflow and lose datagrams that the test doesn't drop.
const socketBufferBytes = 1 << 20

// Relay forwards datagrams between any number of clients and one target.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	group    errgroup.Group
	// dropToTarget and dropToClients are set while the datagrams in that direction
	// are dropped.
	dropToTarget, dropToClients atomic.Bool
	forwardedBytes              atomic.Int64

	mu     sync.Mutex
	closed bool
	// targetSockets maps the address of each client to the socket that
	// exchanges its datagrams with the target.
	targetSockets map[string]*net.UDPConn
}

// New starts a relay to the UDP address target on a free port of 127.0.0.1.
func New(target string) (*Relay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "resolving the target of the relay")
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listening as the relay")
	}
	_ = listener.SetReadBuffer(socketBufferBytes)
	r := &Relay{listener: listener, target: addr, targetSockets: map[string]*net.UDPConn{}}
	r.group.Go(r.forwardToTarget)
	return r, nil
}

// Addr returns the address to which clients send.
func (r *Relay) Addr() string { return r.listener.LocalAddr().String() }

// Partition drops all datagrams until Heal.
func (r *Relay) Partition() {
	r.PartitionToTarget()
	r.PartitionToClients()
}

// PartitionToTarget drops the datagrams to the target until Heal.
func (r *Relay) PartitionToTarget() { r.dropToTarget.Store(true) }

// PartitionToClients drops the datagrams to the clients until Heal.
func (r *Relay) PartitionToClients() { r.dropToClients.Store(true) }

// Heal forwards datagrams in both directions again.
func (r *Relay) Heal() {
	r.dropToTarget.Store(false)
	r.dropToClients.Store(false)
}

// Bytes returns the number of payload bytes forwarded so far, in both directions.
func (r *Relay) Bytes() int64 { return r.forwardedBytes.Load() }

// Close closes the relay's sockets and waits until its goroutines have returned.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.listener.Close()
	for _, c := range r.targetSockets {
		err = errors.CombineErrors(err, c.Close())
	}
	r.mu.Unlock()
	return errors.CombineErrors(r.group.Wait(), err)
}

// forwardToTarget forwards the datagrams of all clients to the target until the
// relay is closed.
func (r *Relay) forwardToTarget() error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "reading from the clients of the relay")
		}
		if r.dropToTarget.Load() {
			continue
		}
		// A datagram that can't be sent is dropped, as on a network.
		if c := r.targetSocket(from); c != nil {
			_, _ = c.Write(buf[:n])
			r.forwardedBytes.Add(int64(n))
		}
	}
}

// targetSocket returns the socket to the target for a client, and opens it for the
// client's first datagram. It returns nil if the relay is closed or the socket
// can't be opened.
func (r *Relay) targetSocket(client *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if socket, known := r.targetSockets[client.String()]; known || r.closed {
		return socket
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	_ = socket.SetReadBuffer(socketBufferBytes)
	r.targetSockets[client.String()] = socket
	r.group.Go(func() error {
		r.forwardToClient(socket, client)
		return nil
	})
	return socket
}

// forwardToClient forwards the datagrams that arrive on socket to one client until
// socket is closed.
func (r *Relay) forwardToClient(socket *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := socket.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Any other error means that the target isn't listening now. It may
		// start to listen later.
		if err == nil && !r.dropToClients.Load() {
			_, _ = r.listener.WriteToUDP(buf[:n], client)
			r.forwardedBytes.Add(int64(n))
		}
	}
}
