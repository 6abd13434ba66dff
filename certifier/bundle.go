package certifier

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// bundle is an authority and a certificate that fit together.
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

// serverTLS gives out no session tickets: a resumed session would outlive the
// authority that it was verified against.
func (b bundle) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{b.cert},
		ClientCAs:              b.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

func (b bundle) clientTLS(peer unit.Instance) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{b.cert},
		RootCAs:      b.roots,
		ServerName:   string(peer),
	}
}

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
