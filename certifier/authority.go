package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// Names of the files that WriteFiles makes.
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca-key.pem"
)

// Permissions of files: certificates are public, keys are not.
const (
	certificateMode = 0o644
	keyMode         = 0o600
	folderMode      = 0o700
)

// Types of PEM blocks.
const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "EC PRIVATE KEY"
)

// Authority issues the certificates of a fleet.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
	keyPEM  []byte
}

// NewAuthority returns an authority with a fresh key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "making the authority's key")
	}
	template, err := newTemplate("chervilvane authority", AuthorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	// The authority signs instances only, never another authority.
	template.MaxPathLenZero = true
	certPEM, keyPEM, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return parseAuthority(certPEM, keyPEM)
}

// LoadAuthority reads an authority that WriteFiles made. If its file holds several
// certificates, the one that belongs to the key issues.
func LoadAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, errors.Wrap(err, "reading the authority's certificate")
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, errors.Wrap(err, "reading the authority's key")
	}
	return parseAuthority(certPEM, keyPEM)
}

func parseAuthority(certPEM, keyPEM []byte) (*Authority, error) {
	block, _ := pem.Decode(keyPEM)
	if block == nil || block.Type != keyBlock {
		return nil, errors.New("the authority's key holds no PEM block of an EC private key")
	}
	key, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the authority's key")
	}
	certs, err := parseCertificates(certPEM)
	if err != nil {
		return nil, err
	}
	for _, c := range certs {
		if key.PublicKey.Equal(c.PublicKey) {
			return &Authority{cert: c, key: key, certPEM: certPEM, keyPEM: keyPEM}, nil
		}
	}
	return nil, errors.New("no certificate of the authority belongs to its key")
}

func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != certificateBlock {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errors.Wrap(err, "parsing a certificate")
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, errors.New("found no certificate in PEM form")
	}
	return certs, nil
}

// Issue returns a certificate and its key for an instance, as PEM.
func (a *Authority) Issue(id unit.Instance) (certPEM, keyPEM []byte, err error) {
	if err := ValidateInstanceName(id); err != nil {
		return nil, nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "making the key of %s", id)
	}
	template, err := newTemplate(string(id), CertificateLifetime)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{string(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, a.cert, key, a.key)
}

// WriteFiles puts the authority and a certificate for each instance into a folder
// of PEM files: ca.pem, ca-key.pem, NAME.pem and NAME-key.pem. Certificates of
// other authorities that ca.pem held stay in it after the new one, so that
// instances whose certificates haven't been replaced yet are still trusted; an
// operator takes them out once all are replaced.
func (a *Authority) WriteFiles(dir string, instances []unit.Instance) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.Wrap(err, "making the folder of certificates")
	}
	roots, err := a.withOthers(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return err
	}
	if err := writePair(dir, AuthorityFile, AuthorityKeyFile, roots, a.keyPEM); err != nil {
		return err
	}
	for _, id := range instances {
		certPEM, keyPEM, err := a.Issue(id)
		if err != nil {
			return err
		}
		if err := writePair(dir, string(id)+".pem", string(id)+"-key.pem", certPEM, keyPEM); err != nil {
			return err
		}
	}
	return nil
}

// withOthers returns the authority's certificates and after them those of other
// authorities in the file at path.
func (a *Authority) withOthers(path string) ([]byte, error) {
	old, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return a.certPEM, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the former authority")
	}
	others, err := parseCertificates(old)
	if err != nil {
		return nil, errors.Wrap(err, "former authority")
	}
	own, err := parseCertificates(a.certPEM)
	if err != nil {
		return nil, err
	}
	roots := slices.Clone(a.certPEM)
	for _, o := range others {
		if !slices.ContainsFunc(own, o.Equal) {
			roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: o.Raw})...)
		}
	}
	return roots, nil
}

func writePair(dir, certFile, keyFile string, certPEM, keyPEM []byte) error {
	if err := replace(filepath.Join(dir, keyFile), keyPEM, keyMode); err != nil {
		return err
	}
	return replace(filepath.Join(dir, certFile), certPEM, certificateMode)
}

// replace writes a file beside the old one and renames it, so that a daemon
// that reads its certificates again never sees half a file.
func replace(path string, data []byte, mode os.FileMode) error {
	part := path + ".part"
	if err := os.WriteFile(part, data, mode); err != nil {
		return errors.Wrapf(err, "writing %s", path)
	}
	return errors.Wrapf(os.Rename(part, path), "replacing %s", path)
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "drawing a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (certPEM, keyPEM []byte, err error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "signing the certificate of %s", template.Subject.CommonName)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encoding a key")
	}
	certPEM = pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der})
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER})
	return certPEM, keyPEM, nil
}
