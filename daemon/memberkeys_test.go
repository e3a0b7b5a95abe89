package daemon

import (
	"net/netip"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

// secure gives a daemon a certificate and disables development mode.
func secure(c *qt.C, settings *config.Config, authority *keys.Authority, named keys.Identity) {
	folder := c.TempDir()
	issued, err := authority.Issue(keys.Request{
		Identity:  named,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		Now:       time.Now(),
	})
	c.Assert(err, qt.IsNil)
	settings.Development = false
	settings.TLS = config.TLS{
		CA:          filepath.Join(folder, "ca.crt"),
		Certificate: filepath.Join(folder, "own.crt"),
		Key:         filepath.Join(folder, "own.key"),
	}
	c.Assert(authority.Save(settings.TLS.CA, filepath.Join(folder, "ca.key")), qt.IsNil)
	c.Assert(issued.Save(settings.TLS.Certificate, settings.TLS.Key), qt.IsNil)
}

func TestPeersWithAnotherCertificateAreRefusedBothWays(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// intruder is the identity in the second daemon's certificate.
		intruder  keys.Identity
		foreignCA bool
		// dialling and accepted report whether calls to and from the second daemon
		// succeed. Only the dialling side knows which daemon to expect.
		dialling, accepted bool
	}{
		{name: "its own", intruder: keys.Identity{Zone: "north", Daemon: "north-1"}, dialling: true, accepted: true},
		{name: "of another CA", intruder: keys.Identity{Zone: "north", Daemon: "north-1"}, foreignCA: true},
		{name: "of a zone that is not in the site", intruder: keys.Identity{Zone: "east", Daemon: "north-1"}},
		{name: "of another zone than its own", intruder: keys.Identity{Zone: "south", Daemon: "north-1"}},
		{name: "of another daemon", intruder: keys.Identity{Zone: "south", Daemon: "south-7"}, accepted: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newTestSite(c, 2)
				authority, err := keys.NewAuthority("test", time.Now())
				c.Assert(err, qt.IsNil)
				other := authority
				if test.foreignCA {
					other, err = keys.NewAuthority("test", time.Now())
					c.Assert(err, qt.IsNil)
				}
				zones := append(s.settings[0].Site.Zones[:1:1], config.Zone{ID: "south", Weight: 1})
				s.settings[0].Site.Zones = zones
				secure(c, &s.settings[0], authority, keys.Identity{Zone: "north", Daemon: "north-0"})
				// The second daemon's settings are not those of the site.
				s.settings[1].Zone, s.settings[1].Daemon = test.intruder.Zone, test.intruder.Daemon
				s.settings[1].Site.Zones = append(zones[:2:2], config.Zone{ID: "east", Weight: 1})
				if test.intruder.Daemon == "north-1" && test.intruder.Zone != "north" {
					home := zones[0]
					home.Controllers = home.Controllers[:1]
					s.settings[1].Site.Zones[0] = home
				}
				secure(c, &s.settings[1], other, test.intruder)
				s.start(0, 1)
				ask := func(from, to int) error {
					// The daemon's own client may be backing off after a failed dial.
					dialler := s.running[s.settings[from].Daemon]
					client := transport.NewClient(log.NewNopLogger(), transport.Options{Network: s.network, PeerTLS: dialler.peerTLS})
					defer client.Close()
					return client.Call(s.ctx, s.settings[to].Listen.Internal, methodMemberDescribe, DescribeArguments{}, &DescribeReply{})
				}
				c.Check(ask(0, 1) == nil, qt.Equals, test.dialling)
				c.Check(ask(1, 0) == nil, qt.Equals, test.accepted)
			})
		})
	}
}

func TestDaemonWithTheCertificateOfAnotherIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestSite(c, 2)
		authority, err := keys.NewAuthority("test", time.Now())
		c.Assert(err, qt.IsNil)
		secure(c, &s.settings[0], authority, keys.Identity{Zone: "north", Daemon: "north-1"})
		_, err = s.newDaemon(0)
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorDenied)
		c.Assert(err, qt.ErrorMatches, ".*is that of lotusferry://north/north-1 and not of lotusferry://north/north-0.*")
	})
}
