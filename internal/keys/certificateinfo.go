package keys

import (
	"crypto/x509"
	"fmt"
	"net/netip"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// CertificateInfo describes a daemon's own certificate.
type CertificateInfo struct {
	Identity Identity
	// NotAfter is the end of the certificate's validity.
	NotAfter time.Time

	certificate *x509.Certificate
}

// Covers reports whether the certificate is valid for the address, as the clients of
// callers and operators require.
func (o CertificateInfo) Covers(address netip.Addr) bool {
	return o.certificate.VerifyHostname(address.Unmap().String()) == nil
}

// Examine reads the files as a daemon does at startup, and verifies the certificate at
// the time now as its peers do. Its errors have the kind invalid for unusable files, and
// denied for a certificate that peers would reject.
func (f Files) Examine(now time.Time) (CertificateInfo, error) {
	loaded, err := f.load()
	if err != nil {
		return CertificateInfo{}, err
	}
	leaf := loaded.certificate.Leaf
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: loaded.roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return CertificateInfo{}, structs.NewError(structs.ErrorDenied,
				fmt.Sprintf("peers would reject the certificate %s: %s", f.Certificate, err),
				"Issue it with the CA in tls.ca, and check this machine's clock.")
		}
	}
	identity, err := certificateIdentity(leaf)
	if err != nil {
		return CertificateInfo{}, err
	}
	return CertificateInfo{Identity: identity, NotAfter: leaf.NotAfter, certificate: leaf}, nil
}
