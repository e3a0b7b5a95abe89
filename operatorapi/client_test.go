package operatorapi_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

func TestClientTriesAddressesInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		down, err := c.memory.Listen(t.Context(), "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Assert(down.Close(), qt.IsNil)
		noQuorum := structs.NewError(structs.ErrorUnavailable, "no quorum", "Wait.")
		good := &recorder{}
		goodAddress := c.serve(good, operatorapi.HandlerOptions{})
		withoutQuorum := &recorder{err: noQuorum}
		follower := &recorder{err: &structs.Error{Kind: structs.ErrorNotLeader, Leader: goodAddress}}
		gateway := c.memory.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
		denied := &recorder{err: structs.NewError(structs.ErrorDenied, "no", "Ask.")}
		tests := []struct {
			name  string
			first string
			calls int // received by the good daemon
			kind  structs.ErrorKind
		}{
			{"not running", down.Addr().String(), 1, ""},
			{"without quorum", c.serve(withoutQuorum, operatorapi.HandlerOptions{}), 1, ""},
			{"gateway error", gateway, 1, ""},
			{"names the leader", c.serve(follower, operatorapi.HandlerOptions{}), 1, ""},
			{"final error", c.serve(denied, operatorapi.HandlerOptions{}), 0, structs.ErrorDenied},
		}
		for _, test := range tests {
			before := len(good.calls())
			client := c.newClient(operatorapi.ClientOptions{Addresses: []string{test.first, goodAddress}})
			_, err := client.Apply(context.Background(), edit, false)
			c.Check(structs.KindOf(err), qt.Equals, test.kind, qt.Commentf(test.name))
			calls := good.calls()[before:]
			c.Assert(calls, qt.HasLen, test.calls, qt.Commentf(test.name))
			for _, call := range calls {
				c.Check(call.(applyCall).edit.ID, qt.Equals, edit.ID)
			}
		}
		client := c.newClient(operatorapi.ClientOptions{Addresses: []string{tests[0].first, tests[1].first}})
		_, err = client.Table(context.Background())
		c.Check(err, qt.DeepEquals, error(noQuorum))
		_, err = c.newClient(operatorapi.ClientOptions{}).Table(context.Background())
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	})
}

func TestClientLimitsLeaderRedirects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		one := &recorder{}
		two := &recorder{}
		oneAddress := c.serve(one, operatorapi.HandlerOptions{})
		one.err = &structs.Error{Kind: structs.ErrorNotLeader, Leader: c.serve(two, operatorapi.HandlerOptions{})}
		two.err = &structs.Error{Kind: structs.ErrorNotLeader, Leader: oneAddress}
		client := c.newClient(operatorapi.ClientOptions{Addresses: []string{oneAddress}})
		_, err := client.Table(context.Background())
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorNotLeader)
		c.Check(len(one.calls())+len(two.calls()), qt.Equals, 4)
	})
}

func TestClientOverTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		server := httptest.NewUnstartedServer(operatorapi.NewHandler(log.NewNopLogger(), &recorder{}, operatorapi.HandlerOptions{}))
		c.Assert(server.Listener.Close(), qt.IsNil)
		listener, err := c.memory.Listen(t.Context(), "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server.Listener = listener
		server.StartTLS()
		c.Cleanup(server.Close)
		known := x509.NewCertPool()
		known.AddCert(server.Certificate())
		tests := map[structs.ErrorKind]*tls.Config{
			"":                    {RootCAs: known},
			structs.ErrorDenied:   {RootCAs: x509.NewCertPool()},
			structs.ErrorInternal: nil,
		}
		for kind, config := range tests {
			client := c.newClient(operatorapi.ClientOptions{Addresses: []string{server.Listener.Addr().String()}, TLS: config})
			_, err := client.Status(context.Background())
			c.Check(structs.KindOf(err), qt.Equals, kind)
		}
	})
}

func TestClientStopsWhenItsContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		ctx, cancel := context.WithCancel(context.Background())
		address := c.memory.Serve(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			cancel()
			<-request.Context().Done()
		}))
		client := c.newClient(operatorapi.ClientOptions{Addresses: []string{address}})
		_, err := client.Table(ctx)
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorDeadline)
	})
}
