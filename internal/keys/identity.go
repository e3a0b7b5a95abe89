package keys

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// identityScheme is the scheme of identity URIs in certificates.
const identityScheme = "lotusferry"

// Identity is the zone and daemon identified by a certificate.
type Identity struct {
	Zone   structs.ZoneID
	Daemon structs.DaemonID
}

// URI returns the identity's URI in certificates.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Zone), Path: "/" + string(i.Daemon)}
}

// String returns the identity's URI.
func (i Identity) String() string { return i.URI().String() }

// parseIdentity parses an identity's URI. Its error has the kind denied.
func parseIdentity(uri *url.URL) (Identity, error) {
	daemon := strings.TrimPrefix(uri.Path, "/")
	identity := Identity{Zone: structs.ZoneID(uri.Host), Daemon: structs.DaemonID(daemon)}
	valid := identity.Zone != "" && daemon != "" && uri.String() == identity.String()
	if !valid {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the certificate's URI %q does not identify a daemon", uri),
			"Issue the certificate with `lotusferryctl keys issue`.")
	}
	return identity, nil
}

// certificateIdentity returns the identity in a certificate, which must have exactly one.
// Its error has the kind denied.
func certificateIdentity(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the certificate has %d URIs instead of one", len(certificate.URIs)),
			"Issue the certificate with `lotusferryctl keys issue`.")
	}
	return parseIdentity(certificate.URIs[0])
}
