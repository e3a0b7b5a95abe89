package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
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
// looks whether a file has changed. While new files cannot be used, the last
// good ones stay in force and the cause is logged once. A Reloader is safe for
// concurrent use.
type Reloader struct {
	logger log.Logger
	files  Files
	zones  map[structs.ZoneID]bool
	homes  map[structs.DaemonID]structs.ZoneID
	now    func() time.Time

	mutex  sync.Mutex
	stamps [3]os.FileInfo // of the last attempt
	loaded material
}

// material is what the files hold.
type material struct {
	roots       *x509.CertPool
	certificate *tls.Certificate
}

// NewReloader reads the files. Its error has the kind invalid.
func NewReloader(logger log.Logger, files Files, options Options) (*Reloader, error) {
	reloader := &Reloader{
		logger: log.With(logger, "component", "keys"),
		files:  files,
		zones:  map[structs.ZoneID]bool{},
		homes:  options.Daemons,
		now:    options.Now,
	}
	if reloader.now == nil {
		reloader.now = time.Now
	}
	for _, zone := range options.Zones {
		reloader.zones[zone] = true
	}
	stamps, err := files.stat()
	if err != nil {
		return nil, err
	}
	loaded, err := files.load()
	if err != nil {
		return nil, err
	}
	reloader.stamps = stamps
	reloader.loaded = loaded
	return reloader, nil
}

// current returns the newest material that can be used. The files' state is
// read before their content, so that a change in between is seen next time.
func (r *Reloader) current() material {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	stamps, err := r.files.stat()
	if err == nil && same(stamps, r.stamps) {
		return r.loaded
	}
	if err != nil && r.stamps == ([3]os.FileInfo{}) {
		return r.loaded // missing files have been logged
	}
	r.stamps = stamps
	loaded := material{}
	if err == nil {
		loaded, err = r.files.load()
	}
	if err != nil {
		level.Error(r.logger).Log("msg", "Changed TLS files cannot be used. The last good ones stay in force.", "err", err)
		return r.loaded
	}
	r.loaded = loaded
	level.Info(r.logger).Log("msg", "TLS files were read again.")
	return r.loaded
}

func same(before, after [3]os.FileInfo) bool {
	for index := range before {
		if after[index] == nil || !os.SameFile(before[index], after[index]) {
			return false
		}
		if !before[index].ModTime().Equal(after[index].ModTime()) {
			return false
		}
		if before[index].Size() != after[index].Size() {
			return false
		}
	}
	return true
}

func (f Files) stat() ([3]os.FileInfo, error) {
	var stamps [3]os.FileInfo
	for index, path := range []string{f.CA, f.Certificate, f.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return [3]os.FileInfo{}, invalidFile(path, err)
		}
		stamps[index] = info
	}
	return stamps, nil
}

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
