package keys

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// identityScheme is the scheme of the URI that names a daemon in its certificate.
const identityScheme = "lotusferry"

// Identity is who a certificate says the daemon is.
type Identity struct {
	Zone   structs.ZoneID
	Daemon structs.DaemonID
}

// URI returns the identity as its certificate holds it.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: string(i.Zone), Path: "/" + string(i.Daemon)}
}

// String returns the identity's URI.
func (i Identity) String() string { return i.URI().String() }

// parseIdentity reads an identity's URI. Its error has the kind denied.
func parseIdentity(uri *url.URL) (Identity, error) {
	daemon := strings.TrimPrefix(uri.Path, "/")
	identity := Identity{Zone: structs.ZoneID(uri.Host), Daemon: structs.DaemonID(daemon)}
	whole := identity.Zone != "" && daemon != "" && uri.String() == identity.String()
	if !whole {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the certificate's name %q is not that of a daemon", uri),
			"Issue the certificate with `lotusferryctl keys issue`.")
	}
	return identity, nil
}

// certificateIdentity returns the identity that a certificate names; it must
// name exactly one. Its error has the kind denied.
func certificateIdentity(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the certificate names %d daemons instead of one", len(certificate.URIs)),
			"Issue the certificate with `lotusferryctl keys issue`.")
	}
	return parseIdentity(certificate.URIs[0])
}
