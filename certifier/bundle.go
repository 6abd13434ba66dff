package certifier

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// bundle consists of trusted roots and a certificate with its matching key.
type bundle struct {
	roots *x509.CertPool
	cert  tls.Certificate
}

func newBundle(authorityPEM, certPEM, keyPEM []byte) (bundle, error) {
	certs, err := parseCertificates(authorityPEM)
	if err != nil {
		return bundle{}, errors.Wrap(err, "authority")
	}
	roots := x509.NewCertPool()
	for _, c := range certs {
		roots.AddCert(c)
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return bundle{}, errors.Wrap(err, "certificate and key")
	}
	return bundle{roots: roots, cert: cert}, nil
}

// serverTLS returns the configuration for incoming connections. It disables session
// tickets: a resumed session would remain valid after the authority that verified it
// was replaced.
func (b bundle) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{b.cert},
		ClientCAs:              b.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// clientTLS returns the configuration for connections to peer.
func (b bundle) clientTLS(peer unit.Instance) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{b.cert},
		RootCAs:      b.roots,
		ServerName:   string(peer),
	}
}

// verify verifies the peer's certificate against the roots and returns the instance
// that the certificate names.
func (b bundle) verify(state tls.ConnectionState) (unit.Instance, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("the peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         b.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return "", errors.Wrap(err, "verifying the peer's certificate")
	}
	if len(leaf.DNSNames) != 1 {
		return "", errors.Newf("the peer's certificate names %d instances, want 1", len(leaf.DNSNames))
	}
	return unit.Instance(leaf.DNSNames[0]), nil
}
