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
	// headerTimeout is longer than any test.
	headerTimeout = time.Hour
)

// Serve serves a handler until the test ends and returns its address.
func (m *Memory) Serve(tb testing.TB, handler http.Handler) string {
	listener, err := m.Listen(context.Background(), anyAddress)
	if err != nil {
		tb.Fatal(err)
	}
	var connections sync.WaitGroup
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			connections.Add(1)
		case http.StateClosed, http.StateHijacked:
			connections.Done()
		}
	}
	connections.Go(func() { _ = server.Serve(listener) })
	tb.Cleanup(func() {
		_ = server.Close()
		// Close does not wait for connections that linger due to an unread request.
		connections.Wait()
	})
	return listener.Addr().String()
}

// Client returns an HTTP client for the network. Its idle connections are closed at the
// end of the test.
func (m *Memory) Client(tb testing.TB) *http.Client {
	transport := &http.Transport{DialContext: m.DialContext}
	tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
