package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/structs"
)

// authority issues certificates for the loopback address.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	certificate, err := x509.ParseCertificate(encoded)
	c.Assert(err, qt.IsNil)
	return authority{certificate, key}
}

func (a authority) options(c *qt.C, memory *networktest.Memory) Options {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	c.Assert(err, qt.IsNil)
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	own := []tls.Certificate{{Certificate: [][]byte{encoded}, PrivateKey: key}}
	return Options{
		Network:   memory,
		ServerTLS: &tls.Config{Certificates: own, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		ClientTLS: &tls.Config{Certificates: own, RootCAs: pool},
	}
}

func TestServerRejectsPeersOfOtherAuthorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		site, other := newAuthority(c), newAuthority(c)
		server, _ := startServer(c, site.options(c, memory))
		reply, err := echo(startClient(c, site.options(c, memory)), server.Address(), "secret")
		c.Assert(err, qt.IsNil)
		c.Assert(reply, qt.Equals, "secret")
		_, err = echo(startClient(c, other.options(c, memory)), server.Address(), "")
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorDenied)
		// A client that trusts the server but has a certificate of another authority.
		mixed := other.options(c, memory)
		mixed.ClientTLS.RootCAs = site.options(c, memory).ClientTLS.RootCAs
		_, err = echo(startClient(c, mixed), server.Address(), "")
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
		_, err = echo(startClient(c, Options{Network: memory, CallTimeout: shortTimeout}), server.Address(), "in the clear")
		c.Assert(err, qt.IsNotNil)
	})
}
