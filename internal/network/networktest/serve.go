package networktest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	anyAddress = "127.0.0.1:0"
	// headerTimeout is no limit that a test comes near.
	headerTimeout = time.Hour
)

// Serve serves a handler until the test ends and returns its address.
func (m *Memory) Serve(tb testing.TB, handler http.Handler) string {
	listener, err := m.Listen(context.Background(), anyAddress)
	if err != nil {
		tb.Fatal(err)
	}
	var open sync.WaitGroup
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Done()
		}
	}
	open.Go(func() { _ = server.Serve(listener) })
	tb.Cleanup(func() {
		_ = server.Close()
		// The server lingers over a connection whose request it has not read.
		open.Wait()
	})
	return listener.Addr().String()
}

// Client makes an HTTP client over the network whose connections end with the test.
func (m *Memory) Client(tb testing.TB) *http.Client {
	transport := &http.Transport{DialContext: m.DialContext}
	tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
