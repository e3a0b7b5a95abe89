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

// Files names the PEM files of one daemon. CA may hold several certificates
// while the site changes from one CA to the next.
type Files struct {
	CA          string
	Certificate string
	Key         string
}

// Options adjusts a Reloader.
type Options struct {
	// Zones are the zones of the site: a peer of any other is refused.
	Zones []structs.ZoneID
	// Daemons are those whose zone is known: a peer of that name must be of that zone.
	Daemons map[structs.DaemonID]structs.ZoneID
	// Now is the clock that certificates are checked against; time.Now when nil.
	Now func() time.Time
}

// Reloader gives out TLS configurations that follow the files: each handshake
// looks whether a file has changed. A Reloader is safe for concurrent use.
type Reloader struct {
	zones    map[structs.ZoneID]bool
	homes    map[structs.DaemonID]structs.ZoneID
	now      func() time.Time
	followed *Followed[material]
}

// material is what the files hold.
type material struct {
	roots       *x509.CertPool
	certificate *tls.Certificate
}

// NewReloader reads the files. Its error has the kind invalid.
func NewReloader(logger log.Logger, files Files, options Options) (*Reloader, error) {
	reloader := &Reloader{
		zones: map[structs.ZoneID]bool{},
		homes: options.Daemons,
		now:   options.Now,
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

// current returns the newest material that can be used.
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
		return nil, invalidFile(path, errors.New("no certificate in it"))
	}
	return roots, nil
}
