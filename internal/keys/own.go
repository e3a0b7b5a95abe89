package keys

import (
	"crypto/x509"
	"fmt"
	"net/netip"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Own is what a daemon's own files say about it.
type Own struct {
	Identity Identity
	// NotAfter is when the certificate ends.
	NotAfter time.Time

	certificate *x509.Certificate
}

// Covers reports whether callers and operators may reach the daemon at the address:
// their clients refuse a certificate that does not name it.
func (o Own) Covers(address netip.Addr) bool {
	return o.certificate.VerifyHostname(address.Unmap().String()) == nil
}

// Examine reads the files as a daemon's start does and checks the certificate as its
// peers will at the time now. Its errors have the kind invalid for files that cannot
// be used and denied for a certificate that peers would refuse.
func (f Files) Examine(now time.Time) (Own, error) {
	loaded, err := f.load()
	if err != nil {
		return Own{}, err
	}
	leaf := loaded.certificate.Leaf
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: loaded.roots, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return Own{}, structs.NewError(structs.ErrorDenied,
				fmt.Sprintf("peers would refuse the certificate %s: %s", f.Certificate, err),
				"Issue it with the CA that tls.ca names, and check this machine's clock.")
		}
	}
	identity, err := certificateIdentity(leaf)
	if err != nil {
		return Own{}, err
	}
	return Own{Identity: identity, NotAfter: leaf.NotAfter, certificate: leaf}, nil
}
