package daemon

import (
	"crypto/tls"
	"fmt"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// loadKeys loads the certificate files. It rejects the certificate of another daemon
// with a remedy, before peers would reject it.
func (d *Daemon) loadKeys() error {
	homes := map[structs.DaemonID]structs.ZoneID{}
	for _, zone := range d.config.Site.Zones {
		for _, member := range zone.Controllers {
			homes[member.Daemon] = zone.ID
		}
	}
	files := keys.Files{CA: d.config.TLS.CA, Certificate: d.config.TLS.Certificate, Key: d.config.TLS.Key}
	reloader, err := keys.NewReloader(d.logger, files, keys.Options{Zones: d.config.Site.ZoneIDs(), Daemons: homes})
	if err != nil {
		return errors.Wrap(err, "load the certificates")
	}
	own := keys.Identity{Zone: d.config.Zone, Daemon: d.config.Daemon}
	if found := reloader.Identity(); found != own {
		return structs.NewError(structs.ErrorDenied,
			fmt.Sprintf("the certificate %s is that of %s and not of %s", files.Certificate, found, own),
			"Name this daemon's own certificate under tls, or issue one with `lotusferryctl keys issue`.")
	}
	d.reloader = reloader
	return nil
}

// peerTLS returns a TLS configuration that requires the peer at address to present the
// certificate of the daemon known to be there, or of any daemon of the site if none is
// known.
func (d *Daemon) peerTLS(address string) *tls.Config {
	return d.reloader.ClientConfig(d.daemonAt(address))
}

func (d *Daemon) daemonAt(address string) structs.DaemonID {
	for _, zone := range d.config.Site.Zones {
		for _, member := range zone.Controllers {
			if member.Address == address {
				return member.Daemon
			}
		}
	}
	for _, member := range d.members {
		status := member.group.Status()
		for node, known := range status.Addresses {
			if known == address && status.Names[node] != "" {
				return structs.DaemonID(status.Names[node])
			}
		}
	}
	return ""
}
