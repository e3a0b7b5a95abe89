package config

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// expiryWarningPeriod is the remaining validity below which a certificate gets a warning.
const expiryWarningPeriod = 30 * 24 * time.Hour

func (k *checker) tls() {
	c := k.config
	files := []struct{ key, path, command string }{
		{"tls.ca", c.TLS.CA, "keys ca"},
		{"tls.certificate", c.TLS.Certificate, "keys issue"},
		{"tls.key", c.TLS.Key, "keys issue"},
	}
	readable := true
	for _, file := range files {
		if c.Development && file.path != "" {
			k.add(file.key, file.path, "is set in development mode, which uses no TLS",
				"Remove it, or set development to false.")
			continue
		}
		if !c.Development {
			readable = k.readable(file.key, file.path, file.command) && readable
		}
	}
	if !c.Development && readable {
		k.certificate(time.Now())
	}
}

// readable reports whether the file can be opened, and adds a problem if not.
func (k *checker) readable(key, path, command string) bool {
	remedy := "Create it with `lotusferryctl " + command + "` and make it readable for the user that runs the daemon."
	if path == "" {
		k.add(key, "", "is missing", remedy)
		return false
	}
	file, err := os.Open(path)
	if err != nil {
		k.add(key, path, "cannot be read ("+err.Error()+")", remedy)
		return false
	}
	file.Close()
	return true
}

// certificate checks that the TLS files match each other and the daemon's identity.
// Otherwise the mistake would only show when peers reject the certificate.
func (k *checker) certificate(now time.Time) {
	const key = "tls.certificate"
	c := k.config
	own, err := keys.Files{CA: c.TLS.CA, Certificate: c.TLS.Certificate, Key: c.TLS.Key}.Examine(now)
	if err != nil {
		k.certificateError(key, err)
		return
	}
	wanted := keys.Identity{Zone: c.Zone, Daemon: c.Daemon}
	if own.Identity != wanted {
		k.add(key, c.TLS.Certificate, "identifies "+own.Identity.String()+" instead of "+wanted.String(),
			"Set this daemon's own certificate, or issue one with `lotusferryctl keys issue`.")
	}
	if now.Add(expiryWarningPeriod).After(own.NotAfter) {
		k.warn(key, c.TLS.Certificate, "expires on "+own.NotAfter.UTC().Format(time.RFC3339),
			"Issue it again with `lotusferryctl keys issue`; no restart is needed.")
	}
	k.certificateCovers("listen.callers", c.Listen.Callers, own)
	k.certificateCovers("listen.operators", c.Listen.Operators, own)
}

// certificateError adds a problem with the message and remedy of err.
func (k *checker) certificateError(key string, err error) {
	problem, remedy := err.Error(), "Create the files with `lotusferryctl keys issue`."
	var typed *structs.Error
	if errors.As(err, &typed) {
		problem, remedy = typed.Message, typed.Remedy
	}
	k.add(key, k.config.TLS.Certificate, "is not usable ("+problem+")", remedy)
}

// certificateCovers warns when the certificate does not include the listen address.
func (k *checker) certificateCovers(key, value string, own keys.CertificateInfo) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || own.Covers(address.Addr()) {
		return
	}
	k.warn(key, value, "is not an address of the certificate, so clients that dial it reject the certificate",
		"Issue the certificate with --ip "+address.Addr().String()+".")
}
