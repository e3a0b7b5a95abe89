package networktest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// ServeText answers the first request of each connection with the text until the test ends, and closes the connection. It returns the
// address.
func (m *Memory) ServeText(tb testing.TB, text string) string {
	tb.Helper()
	listener, err := m.Listen(context.Background(), anyAddress)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendText(conn, text)
		}
	}()
	return listener.Addr().String()
}

// sendText answers a request with the text.
func sendText(conn net.Conn, text string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, text)
}
