package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Files holds the paths of a daemon's PEM files. CA may contain several certificates
// during the rotation of the CA.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Options configures a Reloader.
type Options struct {
	// Zones are the zones of the site. Peers of other zones are rejected.
	Zones []structs.ZoneID
	// Daemons maps daemons to their zones. A listed peer must have this zone.
	Daemons map[structs.DaemonID]structs.ZoneID
	// Now is the clock for certificate validity; nil means time.Now.
	Now func() time.Time
}

// Reloader provides TLS configurations that check the files for changes at each
// handshake. It is safe for concurrent use.
type Reloader struct {
	zones       map[structs.ZoneID]bool
	daemonZones map[structs.DaemonID]structs.ZoneID
	now         func() time.Time
	followed    *Followed[material]
}

// material is the decoded content of the files.
type material struct {
	roots       *x509.CertPool
	certificate *tls.Certificate
}

// NewReloader reads the files. Its error has the kind invalid.
func NewReloader(logger log.Logger, files Files, options Options) (*Reloader, error) {
	reloader := &Reloader{
		zones:       map[structs.ZoneID]bool{},
		daemonZones: options.Daemons,
		now:         options.Now,
	}
	if reloader.now == nil {
		reloader.now = time.Now
	}
	for _, zone := range options.Zones {
		reloader.zones[zone] = true
	}
	followed, err := Follow(logger, Source[material]{
		Name:  "TLS files",
		Paths: []string{files.CA, files.Certificate, files.Key},
		Read:  files.load,
	})
	if err != nil {
		return nil, err
	}
	reloader.followed = followed
	return reloader, nil
}

// current returns the latest valid material.
func (r *Reloader) current() material { return r.followed.Current() }

func (f Files) load() (material, error) {
	roots, err := loadRoots(f.CA)
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, invalidFile(f.Certificate, err)
	}
	if _, err := certificateIdentity(certificate.Leaf); err != nil {
		return material{}, invalidFile(f.Certificate, err)
	}
	return material{roots: roots, certificate: &certificate}, nil
}

func loadRoots(path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, invalidFile(path, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(content) {
		return nil, invalidFile(path, errors.New("it contains no certificate"))
	}
	return roots, nil
}
