package instance

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
)

// serveIfKnown serves a connection if its peer is an instance of the fleet, and
// closes it otherwise.
func (m *Mesh) serveIfKnown(c *quic.Conn) {
	p, err := m.identify(c)
	if err != nil {
		m.refuse(c, err)
		return
	}
	m.serve(p, c)
}

// identify returns the peer that the certificate of a connection names.
func (m *Mesh) identify(c *quic.Conn) (*peer, error) {
	id, err := m.cfg.Credentials.Verify(c.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	p, known := m.peers[id]
	if !known {
		return nil, errors.Newf("instance %q isn't among the peers of the settings", string(id))
	}
	return p, nil
}

// refuse closes a connection whose peer isn't, or is no longer, an instance of
// the fleet.
func (m *Mesh) refuse(c *quic.Conn, cause error) {
	m.metrics.refusedPeers.Inc(1)
	m.log.WithField(logger.FieldError, cause.Error()).Warn("closed a mesh connection of an unauthenticated peer")
	_ = c.CloseWithError(codeIdentity, "not an instance of this fleet")
}

// recheckPeers periodically closes the connections of peers whose certificate has
// expired or whose authority is no longer trusted.
func (m *Mesh) recheckPeers() error {
	tick := time.NewTicker(m.cfg.Recheck.Duration())
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-m.ctx.Done():
			return nil
		}
		for _, p := range m.peers {
			for _, c := range p.connections() {
				if err := m.verify(p.id, c); err != nil {
					m.refuse(c, err)
				}
			}
		}
	}
}

// verify returns an error unless the certificate of a connection is valid and
// names the wanted instance.
func (m *Mesh) verify(want unit.Instance, c *quic.Conn) error {
	id, err := m.cfg.Credentials.Verify(c.ConnectionState().TLS)
	if err != nil {
		return err
	}
	if id != want {
		return errors.Newf("the peer is %q, want %q", string(id), string(want))
	}
	return nil
}
