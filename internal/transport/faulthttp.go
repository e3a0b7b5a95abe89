package transport

import (
	"io"
	"net"
	"net/http"
)

// HTTP returns a RoundTripper that injects the faults before next. Requests to a cut
// address fail with a dial error, and responses in progress fail at their next read.
func (f *Faults) HTTP(next http.RoundTripper) http.RoundTripper {
	return faultyRoundTripper{faults: f, next: next}
}

type faultyRoundTripper struct {
	faults *Faults
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t faultyRoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	if err := t.faults.wait(request.Context(), address); err != nil {
		return nil, err
	}
	if t.faults.isCut(address) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errCut}
	}
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &faultyBody{ReadCloser: response.Body, faults: t.faults, address: address}
	return response, nil
}

// faultyBody is a response body that fails after a cut.
type faultyBody struct {
	io.ReadCloser
	faults  *Faults
	address string
}

// Read implements io.Reader.
func (b *faultyBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if b.faults.isCut(b.address) {
		return 0, errCut
	}
	return count, err
}
