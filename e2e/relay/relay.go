// Package relay is a UDP relay on loopback for tests: it stands between two
// processes and can cut either direction of what they send to each other, as a
// network partition would. Neither process notices the relay itself.
package relay

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// maxDatagram is the size of the largest UDP datagram, in bytes.
const maxDatagram = 64 << 10

// socketBuffer is the size of the kernel's buffer per socket, in bytes; it
// keeps the relay from losing datagrams that no test asked it to lose.
const socketBuffer = 1 << 20

// Relay passes datagrams between any number of clients and one target.
type Relay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	group  errgroup.Group
	// toTarget and toClients are set while that direction is cut.
	toTarget, toClients atomic.Bool
	bytes               atomic.Int64

	mu     sync.Mutex
	closed bool
	// flows holds the socket towards the target for each client.
	flows map[string]*net.UDPConn
}

// New starts a relay to the UDP address target.
func New(target string) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "target of the relay")
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "binding the relay")
	}
	_ = front.SetReadBuffer(socketBuffer)
	r := &Relay{front: front, target: to, flows: map[string]*net.UDPConn{}}
	r.group.Go(r.forward)
	return r, nil
}

// Addr returns the address that clients send to.
func (r *Relay) Addr() string { return r.front.LocalAddr().String() }

// Cut cuts both directions.
func (r *Relay) Cut() {
	r.CutToTarget()
	r.CutToClients()
}

// CutToTarget cuts the direction to the target.
func (r *Relay) CutToTarget() { r.toTarget.Store(true) }

// CutToClients cuts the direction to the clients.
func (r *Relay) CutToClients() { r.toClients.Store(true) }

// Heal ends every cut.
func (r *Relay) Heal() {
	r.toTarget.Store(false)
	r.toClients.Store(false)
}

// Bytes returns the payload that was passed on so far, in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Close ends the relay.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.front.Close()
	for _, c := range r.flows {
		err = errors.CombineErrors(err, c.Close())
	}
	r.mu.Unlock()
	return errors.CombineErrors(r.group.Wait(), err)
}

// forward passes datagrams to the target until the relay is closed.
func (r *Relay) forward() error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := r.front.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "relaying to the target")
		}
		if r.toTarget.Load() {
			continue
		}
		// A datagram that can't be sent is lost, as on a network.
		if c := r.flow(from); c != nil {
			_, _ = c.Write(buf[:n])
			r.bytes.Add(int64(n))
		}
	}
}

// flow returns the socket towards the target for a client, or nil if the relay
// is closed.
func (r *Relay) flow(client *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, known := r.flows[client.String()]; known || r.closed {
		return c
	}
	c, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	_ = c.SetReadBuffer(socketBuffer)
	r.flows[client.String()] = c
	r.group.Go(func() error {
		r.backward(c, client)
		return nil
	})
	return c
}

// backward passes datagrams to one client until its flow is closed.
func (r *Relay) backward(c *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Any other error says that the target isn't there now; it may come
		// back.
		if err == nil && !r.toClients.Load() {
			_, _ = r.front.WriteToUDP(buf[:n], client)
			r.bytes.Add(int64(n))
		}
	}
}
