package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// Identity returns the daemon's own identity.
func (r *Reloader) Identity() Identity {
	identity, err := certificateIdentity(r.current().certificate.Leaf)
	if err != nil {
		return Identity{} // load has checked it
	}
	return identity
}

// PublicServerConfig is for callers and operators: it shows the daemon's
// certificate and asks for none, as those present an API key.
func (r *Reloader) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		Time:       r.now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		},
	}
}

// CallersServerConfig is PublicServerConfig that lets daemons of the site show
// their certificate as well, which VerifyDaemon checks. Callers need none.
func (r *Reloader) CallersServerConfig() *tls.Config {
	config := r.PublicServerConfig()
	config.ClientAuth = tls.RequestClientCert
	return config
}

// VerifyDaemon returns the daemon of the site at the other end of a connection
// that it dialled. Its error has the kind denied.
func (r *Reloader) VerifyDaemon(state tls.ConnectionState) (Identity, error) {
	return r.verify(state, x509.ExtKeyUsageClientAuth)
}

// ServerConfig is for daemons that dial this one: both show certificates. The
// standard check of the client's chain is replaced by verify, which knows the
// newest CA. Sessions are not resumed, as that would skip the check.
func (r *Reloader) ServerConfig() *tls.Config {
	config := r.PublicServerConfig()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := r.verify(state, x509.ExtKeyUsageClientAuth)
		return err
	}
	return config
}

// ClientConfig is for dialling a daemon. When the daemon's ID is given, the peer
// must be that one; otherwise any daemon of the site will do. The peer is known
// by its certificate and not by its address, so the standard check of the name
// is replaced by verify.
func (r *Reloader) ClientConfig(daemon structs.DaemonID) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Time:               r.now,
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			identity, err := r.verify(state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if daemon != "" && identity.Daemon != daemon {
				return structs.NewError(structs.ErrorDenied,
					fmt.Sprintf("the peer is %s and not %s", identity, daemon),
					"Correct the daemon's address in the settings, or issue its certificate again.")
			}
			return nil
		},
	}
}

// verify checks the peer's chain against the newest CA and its zone against the
// site's. Its errors have the kind denied.
func (r *Reloader) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			"the peer showed no certificate", "Set tls.certificate and tls.key on the peer.")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         r.current().roots,
		Intermediates: intermediates,
		CurrentTime:   r.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			"the peer's certificate is refused: "+err.Error(),
			"Issue it with the CA of this site, and check the clocks of both machines.")
	}
	identity, err := certificateIdentity(leaf)
	if err != nil {
		return Identity{}, err
	}
	if !r.zones[identity.Zone] {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the peer %s is of a zone that is not in the site", identity),
			"Add the zone under site.zones, or issue the peer's certificate for its real zone.")
	}
	if home, known := r.homes[identity.Daemon]; known && home != identity.Zone {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the peer %s should be of zone %s", identity, home),
			"Issue the peer's certificate for the zone under which the site lists it.")
	}
	return identity, nil
}

// PublicClientConfig is for callers and operators: it trusts the CA of the file
// and checks the daemon's address against its certificate. Its error has the
// kind invalid.
func PublicClientConfig(caPath string) (*tls.Config, error) {
	roots, err := loadRoots(caPath)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}, nil
}
