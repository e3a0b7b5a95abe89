package network

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ResetAwareConn is a connection whose Read tells a reset from an orderly end by the peer. The system reports the failure of a
// socket once: if a write takes it, later reads return io.EOF, as after an orderly end. Create one with NewResetAwareConn.
type ResetAwareConn struct {
	net.Conn

	// isInterrupting is set while Read interrupts writes to learn of their failures.
	isInterrupting atomic.Bool
	// writing is held while data is written.
	writing sync.Mutex
	// failure is the error of the first write that failed; nil for none. It is guarded by writing.
	failure error
}

// NewResetAwareConn returns a ResetAwareConn that uses the given connection, whose write deadline it sets.
func NewResetAwareConn(conn net.Conn) *ResetAwareConn { return &ResetAwareConn{Conn: conn} }

// ErrWriteFailed is the error of reading to the end of a connection on which a write has failed.
var ErrWriteFailed = errors.New("the connection ended after a write had failed")

// Read implements net.Conn. In place of io.EOF it returns an ErrWriteFailed if a write failed before the end was read.
func (c *ResetAwareConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if failure := c.WriteFailure(); failure != nil {
		return count, fmt.Errorf("%w: %w", ErrWriteFailed, failure)
	}
	return count, err
}

// Write implements net.Conn.
func (c *ResetAwareConn) Write(buffer []byte) (int, error) {
	written := 0
	for {
		count, err := c.writeOnce(buffer[written:])
		written += count
		if !errors.Is(err, errInterrupted) {
			return written, err
		}
	}
}

// errInterrupted ends a write that is to be continued.
var errInterrupted = errors.New("the write was interrupted")

func (c *ResetAwareConn) writeOnce(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(buffer)
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded) && c.isInterrupting.Load():
		return count, errInterrupted
	case c.failure == nil && !errors.Is(err, net.ErrClosed):
		c.failure = err
	}
	return count, err
}

// NetConn returns the underlying connection.
func (c *ResetAwareConn) NetConn() net.Conn { return c.Conn }

// WriteFailure returns the error of the first write that failed, or nil. A write in progress is interrupted for it, as it may have
// failed already, and goes on afterwards. Closing the connection is no failure.
func (c *ResetAwareConn) WriteFailure() error {
	c.isInterrupting.Store(true)
	defer c.isInterrupting.Store(false)
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Time{})
	return c.failure
}
