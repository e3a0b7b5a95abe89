package config_test

import (
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/keys"
)

func TestCheckReportsCertificatesThatPeersOrClientsReject(t *testing.T) {
	own := keys.Identity{Zone: "sala-a", Daemon: "sala-a-1"}
	address := []netip.Addr{netip.MustParseAddr("10.20.1.11")}
	tests := []struct {
		name    string
		request keys.Request
		// corrupt changes the files after their creation.
		corrupt func(c *qt.C, flags *config.Flags)
		key     string
		warns   bool
	}{
		{name: "of another zone", request: keys.Request{Identity: keys.Identity{Zone: "sala-b", Daemon: "sala-a-1"}, Addresses: address}, key: "tls.certificate"},
		{name: "of another daemon", request: keys.Request{Identity: keys.Identity{Zone: "sala-a", Daemon: "sala-a-2"}, Addresses: address}, key: "tls.certificate"},
		{name: "expired", request: keys.Request{Identity: own, Addresses: address, Validity: -time.Hour}, key: "tls.certificate"},
		{name: "soon to expire", request: keys.Request{Identity: own, Addresses: address, Validity: 29 * 24 * time.Hour}, key: "tls.certificate", warns: true},
		{name: "without the callers' address", request: keys.Request{Identity: own}, key: "listen.callers", warns: true},
		{name: "without the operators' address", request: keys.Request{Identity: own}, key: "listen.operators", warns: true},
		{name: "empty", request: keys.Request{Identity: own, Addresses: address}, key: "tls.certificate",
			corrupt: func(c *qt.C, flags *config.Flags) {
				c.Assert(os.WriteFile(flags.TLSCertificate, nil, 0o600), qt.IsNil)
			}},
		{name: "key of another certificate", request: keys.Request{Identity: own, Addresses: address}, key: "tls.certificate",
			corrupt: func(c *qt.C, flags *config.Flags) { flags.TLSKey = localFlags(c, "padano.yaml").TLSKey }},
		{name: "issued by another CA", request: keys.Request{Identity: own, Addresses: address}, key: "tls.certificate",
			corrupt: func(c *qt.C, flags *config.Flags) { flags.TLSCA = localFlags(c, "padano.yaml").TLSCA }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			authority, err := keys.NewAuthority("padano", time.Now())
			c.Assert(err, qt.IsNil)
			test.request.Now = time.Now()
			flags := issueFlags(c, authority, test.request)
			if test.corrupt != nil {
				test.corrupt(c, &flags)
			}
			result, err := config.CheckFile(examplePath("padano.yaml"), flags)
			c.Assert(err, qt.IsNil)
			c.Check(result.OK, qt.Equals, test.warns)
			c.Check(hasProblem(result.Problems, test.key, test.warns), qt.IsTrue, qt.Commentf("%v", result.Problems))
		})
	}
}
