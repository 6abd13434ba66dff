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

// Names of the authority's files in the folder of WriteFiles.
const (
	AuthorityFile    = "ca.pem"
	AuthorityKeyFile = "ca-key.pem"
)

// File modes. Certificates are public, keys are not.
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

// Authority issues the certificates of a fleet's instances.
type Authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM []byte
	keyPEM  []byte
}

// NewAuthority returns an authority with a new random key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generating the authority's key")
	}
	template, err := newTemplate("chervilvane authority", AuthorityLifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	// The authority signs only certificates of instances, no other authority.
	template.MaxPathLenZero = true
	certPEM, keyPEM, err := signCertificate(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return parseAuthority(certPEM, keyPEM)
}

// LoadAuthority reads an authority from a folder that WriteFiles wrote. If the
// certificate file contains several certificates, the authority issues with the one
// that matches the key.
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
		return nil, errors.New("the authority's key file contains no PEM block of an EC private key")
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
	return nil, errors.New("no certificate of the authority matches its key")
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
		return nil, errors.New("no PEM block of a certificate found")
	}
	return certs, nil
}

// Issue returns a new certificate for an instance and its private key, both as
// PEM. It returns an error if the name is invalid; see ValidateInstanceName.
func (a *Authority) Issue(id unit.Instance) (certPEM, keyPEM []byte, err error) {
	if err := ValidateInstanceName(id); err != nil {
		return nil, nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "generating the key of %s", id)
	}
	template, err := newTemplate(string(id), CertificateLifetime)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{string(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return signCertificate(template, a.cert, key, a.key)
}

// WriteFiles writes the authority and a new certificate for each instance to dir, as
// the PEM files ca.pem, ca-key.pem, NAME.pem and NAME-key.pem. It creates dir if
// needed. If ca.pem already contains certificates of other authorities, they are
// kept after the new one, so that instances whose certificates haven't been
// replaced yet are still trusted. An operator removes them once all certificates
// are replaced.
func (a *Authority) WriteFiles(dir string, instances []unit.Instance) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return errors.Wrap(err, "creating the folder of certificates")
	}
	roots, err := a.mergeRoots(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return err
	}
	if err := writeKeyPair(dir, AuthorityFile, AuthorityKeyFile, roots, a.keyPEM); err != nil {
		return err
	}
	for _, id := range instances {
		certPEM, keyPEM, err := a.Issue(id)
		if err != nil {
			return err
		}
		if err := writeKeyPair(dir, string(id)+".pem", string(id)+"-key.pem", certPEM, keyPEM); err != nil {
			return err
		}
	}
	return nil
}

// mergeRoots returns the authority's certificates, followed by the certificates of
// other authorities in the file at path, if that file exists.
func (a *Authority) mergeRoots(path string) ([]byte, error) {
	old, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return a.certPEM, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "reading the previous authority")
	}
	others, err := parseCertificates(old)
	if err != nil {
		return nil, errors.Wrap(err, "previous authority")
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

func writeKeyPair(dir, certFile, keyFile string, certPEM, keyPEM []byte) error {
	if err := replaceFile(filepath.Join(dir, keyFile), keyPEM, keyMode); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, certFile), certPEM, certificateMode)
}

// replaceFile replaces the file at path atomically: it writes a temporary file and
// renames it, so that a daemon that reloads its certificates never reads a partial
// file.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	tempPath := path + ".part"
	if err := os.WriteFile(tempPath, data, mode); err != nil {
		return errors.Wrapf(err, "writing %s", path)
	}
	return errors.Wrapf(os.Rename(tempPath, path), "replacing %s", path)
}

// newTemplate returns the fields that are common to all certificates, with a random
// serial number.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generating a serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// signCertificate returns the certificate that signer signs, and key, both as PEM.
func signCertificate(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (certPEM, keyPEM []byte, err error) {
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
