package config

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// renewalNotice is how long before its end a certificate is warned of.
const renewalNotice = 30 * 24 * time.Hour

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

// readable checks that the file is there for this user.
func (k *checker) readable(key, path, command string) bool {
	remedy := "Make it with `lotusferryctl " + command + "` and give it to the user that runs the daemon."
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

// certificate checks that the files fit each other and are this daemon's own, so
// that a wrong one shows here and not as a refusal by every peer.
func (k *checker) certificate(now time.Time) {
	const key = "tls.certificate"
	c := k.config
	own, err := keys.Files{CA: c.TLS.CA, Certificate: c.TLS.Certificate, Key: c.TLS.Key}.Examine(now)
	if err != nil {
		k.unusable(key, err)
		return
	}
	wanted := keys.Identity{Zone: c.Zone, Daemon: c.Daemon}
	if own.Identity != wanted {
		k.add(key, c.TLS.Certificate, "is that of "+own.Identity.String()+" and not of "+wanted.String(),
			"Name this daemon's own certificate, or issue one with `lotusferryctl keys issue`.")
	}
	if now.Add(renewalNotice).After(own.NotAfter) {
		k.warn(key, c.TLS.Certificate, "ends on "+own.NotAfter.UTC().Format(time.RFC3339),
			"Issue it again with `lotusferryctl keys issue`; no restart is needed.")
	}
	k.covered("listen.callers", c.Listen.Callers, own)
	k.covered("listen.operators", c.Listen.Operators, own)
}

// unusable reports files that cannot be used, with the remedy of the error.
func (k *checker) unusable(key string, err error) {
	problem, remedy := err.Error(), "Make the files with `lotusferryctl keys issue`."
	var typed *structs.Error
	if errors.As(err, &typed) {
		problem, remedy = typed.Message, typed.Remedy
	}
	k.add(key, k.config.TLS.Certificate, "cannot be used ("+problem+")", remedy)
}

// covered warns when clients that dial the address would refuse the certificate.
func (k *checker) covered(key, value string, own keys.Own) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Addr().IsUnspecified() || own.Covers(address.Addr()) {
		return
	}
	k.warn(key, value, "is no address of the certificate, so that clients which dial it refuse the daemon",
		"Issue the certificate with --ip "+address.Addr().String()+".")
}
