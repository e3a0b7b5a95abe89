package daemon

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// httpLimits bounds the resources that clients of the HTTP servers may use. Answers are
// streams without an overall timeout; the request's deadline and the timeout of each
// write bound them.
type httpLimits struct {
	// header, body and idle bound reading a request's header, reading its body, and
	// keeping an idle connection.
	header time.Duration
	body   time.Duration
	idle   time.Duration
	// write bounds one write to a caller.
	write time.Duration
	// connections bounds the open connections of a listener; further ones wait.
	connections int
}

func defaultHTTPLimits() httpLimits {
	return httpLimits{
		header:      10 * time.Second,
		body:        30 * time.Second,
		idle:        2 * time.Minute,
		write:       20 * time.Second,
		connections: 16 << 10,
	}
}

const maxHeaderBytes = 32 << 10

// withBodyTimeout sets a deadline for reading a request's body and clears it at the end
// of the body, because the answer may last longer.
func withBodyTimeout(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		// A reused connection may still have the deadline of its last write. Errors are
		// ignored because this server's connections support deadlines.
		_ = control.SetWriteDeadline(time.Time{})
		if r.Body != nil && r.Body != http.NoBody {
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody clears the connection's read deadline at EOF.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return count, err
}

// limitListener is a net.Listener that limits the number of open connections.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(listener net.Listener, connections int) *limitListener {
	return &limitListener{Listener: listener, slots: make(chan struct{}, connections), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
