// Package certifier implements the fleet's private certificate authority and the
// TLS credentials with which instances authenticate to each other.
//
// An Authority issues one certificate per instance. The instance's name is the
// certificate's only DNS name, so the standard verification of crypto/tls also
// checks the identity.
//
// FileCredentials reads an instance's certificate from PEM files and reloads them
// when they change, so that certificates and the authority itself can be rotated
// without a restart. The authority's file may contain several certificates; during
// a rotation it contains the old and the new one.
package certifier

import (
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// Validity periods of certificates.
const (
	AuthorityLifetime   = 10 * 365 * 24 * time.Hour
	CertificateLifetime = 398 * 24 * time.Hour
	// backdate is how far in the past the validity of a certificate begins, so
	// that instances whose clocks are behind accept it.
	backdate = time.Hour
)

// instanceName matches a valid instance name, which is a single DNS label.
var instanceName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

// ValidateInstanceName returns an error if id can't be the DNS name of a
// certificate.
func ValidateInstanceName(id unit.Instance) error {
	if !instanceName.MatchString(string(id)) {
		return errors.Newf("instance name %q: allowed are 1 to 63 letters, digits and inner hyphens", string(id))
	}
	return nil
}
