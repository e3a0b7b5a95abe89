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
		return Identity{} // cannot happen: load checks the identity
	}
	return identity
}

// PublicServerConfig returns the server configuration for callers and operators. It
// requests no client certificates, because they authenticate with API keys.
func (r *Reloader) PublicServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		Time:       r.now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.current().certificate, nil
		},
	}
}

// CallersServerConfig is like PublicServerConfig, but also accepts client certificates
// of the site's daemons, which VerifyDaemon verifies.
func (r *Reloader) CallersServerConfig() *tls.Config {
	config := r.PublicServerConfig()
	config.ClientAuth = tls.RequestClientCert
	return config
}

// VerifyDaemon verifies the client certificate of a connection and returns the daemon's
// identity. Its error has the kind denied.
func (r *Reloader) VerifyDaemon(state tls.ConnectionState) (Identity, error) {
	return r.verify(state, x509.ExtKeyUsageClientAuth)
}

// ServerConfig returns the server configuration for other daemons, with mutual TLS. The
// client's chain is verified by verify, which uses the latest CA, instead of package tls.
// Session resumption is disabled, because it would skip the verification.
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

// ClientConfig returns the client configuration for dialling a daemon. The peer must be
// the given daemon, or any daemon of the site if daemon is empty. Peers are identified by
// the URI in their certificate and not by their address, so verify replaces the
// verification of package tls.
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
					fmt.Sprintf("the peer is %s instead of %s", identity, daemon),
					"Correct the daemon's address in the settings, or reissue its certificate.")
			}
			return nil
		},
	}
}

// verify verifies the peer's chain with the latest CA, and its zone. Its errors have the
// kind denied.
func (r *Reloader) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			"the peer sent no certificate", "Set tls.certificate and tls.key on the peer.")
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
			"the peer's certificate is rejected: "+err.Error(),
			"Issue it with the CA of this site, and check the clocks of both machines.")
	}
	identity, err := certificateIdentity(leaf)
	if err != nil {
		return Identity{}, err
	}
	if !r.zones[identity.Zone] {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the peer %s has a zone that is not in the site", identity),
			"Add the zone to site.zones, or issue the peer's certificate for its actual zone.")
	}
	if expected, known := r.daemonZones[identity.Daemon]; known && expected != identity.Zone {
		return Identity{}, structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the peer %s should have the zone %s", identity, expected),
			"Issue the peer's certificate for the zone in which the site lists it.")
	}
	return identity, nil
}

// PublicClientConfig returns the client configuration for callers and operators. It
// trusts the CA in the file at caPath, and verifies that the certificate includes the
// daemon's address. Its error has the kind invalid.
func PublicClientConfig(caPath string) (*tls.Config, error) {
	roots, err := loadRoots(caPath)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}, nil
}
