// Package certifier is the fleet's private certificate authority and the
// certificates that its instances authenticate with to one another.
//
// An Authority issues a certificate per instance; the instance's name is the
// certificate's only DNS name, so the standard verification of the TLS library
// also checks the identity. FileCredentials holds an instance's certificate as PEM
// files and reads them again when they change, so that certificates, and the
// authority itself, are rotated without a restart: the authority's file may
// hold several certificates, and during a rotation it holds the old and the
// new one.
package certifier

import (
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// Life times of certificates.
const (
	AuthorityLifetime   = 10 * 365 * 24 * time.Hour
	CertificateLifetime = 398 * 24 * time.Hour
	// backdate allows for clocks of instances that are behind.
	backdate = time.Hour
)

// instanceName is the form of an instance's name: one label of a DNS name.
var instanceName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?$`)

// ValidateInstanceName reports why a name can't stand in a certificate.
func ValidateInstanceName(id unit.Instance) error {
	if !instanceName.MatchString(string(id)) {
		return errors.Newf("instance name %q: allowed are 1 to 63 letters, digits and inner hyphens", string(id))
	}
	return nil
}
