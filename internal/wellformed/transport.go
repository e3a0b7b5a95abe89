package wellformed

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/lotusferry/lotusferry/internal/network"
)

// Transport is an http.RoundTripper whose responses are well-formed. RoundTrip fails with ErrMalformed if the head of the final response is
// not allowed, or that of an interim one over a connection of Dial, and reading the body to its end if a trailer is not.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[net.Conn]
	// With a hook for interim responses, net/http would no longer bound the bytes of all of them.
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.Store(&info.Conn)
		if conn, isChecked := network.As[*Conn](info.Conn); isChecked {
			conn.expect()
		}
	}}
	response, err := t.Base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		// What follows on the connection is not what net/http takes it for.
		if conn := used.Load(); conn != nil {
			_ = (*conn).Close()
		}
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t Transport) CloseIdleConnections() {
	if base, hasIdle := t.Base.(interface{ CloseIdleConnections() }); hasIdle {
		base.CloseIdleConnections()
	}
}

// Check returns an ErrMalformed if the head of a final response is not allowed.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 && response.ProtoMajor != 2 {
		return malformed("it is of %s", response.Proto)
	}
	if response.StatusCode < minFinalStatus || response.StatusCode > maxStatus {
		return malformed("%d is not the status of a final response", response.StatusCode)
	}
	return checkNames(response.Header)
}

func checkNames(header http.Header) error {
	for name := range header {
		if !isToken(name) {
			return malformed("%q is no name of a field", name)
		}
	}
	return nil
}

// body checks the trailers at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if malformed := checkTrailer(b.response.Trailer); malformed != nil {
			return count, malformed
		}
	}
	return count, err
}

// checkTrailer returns an ErrMalformed if a trailer is not allowed, as those that say where the body ends (RFC 9110, section 6.5.1).
func checkTrailer(trailer http.Header) error {
	for _, name := range []string{fieldLength, fieldEncoding} {
		if _, isThere := trailer[name]; isThere {
			return malformed("%s is no trailer", name)
		}
	}
	return checkNames(trailer)
}
