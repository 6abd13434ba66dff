package instance

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
)

// admit serves a connection if its peer is an instance of the fleet.
func (m *Mesh) admit(c *quic.Conn) {
	p, err := m.identify(c)
	if err != nil {
		m.refuse(c, err)
		return
	}
	m.serve(p, c)
}

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

// refuse ends a connection whose peer isn't, or is no longer, an instance of
// the fleet.
func (m *Mesh) refuse(c *quic.Conn, why error) {
	m.metrics.refusedPeers.Inc(1)
	m.log.WithField(logger.FieldError, why.Error()).Warn("refused a connection of the mesh")
	_ = c.CloseWithError(codeIdentity, "not an instance of this fleet")
}

// recheck ends the connections of peers whose certificate has run out or whose
// authority was taken away since they connected.
func (m *Mesh) recheck() error {
	tick := time.NewTicker(m.cfg.Recheck.Duration())
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-m.ctx.Done():
			return nil
		}
		for _, p := range m.peers {
			for _, c := range p.all() {
				if err := m.verify(p.id, c); err != nil {
					m.refuse(c, err)
				}
			}
		}
	}
}

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
