package networktest

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// conn is one end of a connection.
type conn struct {
	local, remote      *net.TCPAddr
	incoming, outgoing *stream
	// resets is set if closing resets the connection.
	resets atomic.Bool
}

// newConnPair returns the dialling and the accepting end of a connection.
func newConnPair(local, remote *net.TCPAddr, bufferBytes int, ends []*machine) (*conn, *conn) {
	forward := newStream(bufferBytes, ends)
	backward := newStream(bufferBytes, ends)
	dialled := &conn{local: local, remote: remote, incoming: backward, outgoing: forward}
	accepted := &conn{local: remote, remote: local, incoming: forward, outgoing: backward}
	return dialled, accepted
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.incoming.read(buffer)
	return count, c.wrap("read", err)
}

// Write implements net.Conn. It blocks while the buffer is full.
func (c *conn) Write(buffer []byte) (int, error) {
	count, err := c.outgoing.write(buffer)
	return count, c.wrap("write", err)
}

// Close implements net.Conn. The peer reads the sent data and then io.EOF, or
// ECONNRESET if it had sent data that was not read.
func (c *conn) Close() error {
	unread, err := c.incoming.closeReader()
	if err != nil {
		return c.wrap("close", err)
	}
	if c.resets.Load() {
		c.outgoing.discard()
	}
	if unread || c.resets.Load() {
		c.outgoing.reset()
	}
	c.outgoing.closeWriter()
	return nil
}

// SetLinger sets whether Close resets the connection and discards what has not arrived (0), as
// net.TCPConn does. Other values have Close deliver it.
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

// CloseWrite closes the sending direction, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	c.outgoing.closeWriter()
	return nil
}

// reset resets a connection that was not accepted.
func (c *conn) reset() {
	c.outgoing.reset()
	_ = c.Close()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	_ = c.SetReadDeadline(at)
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	return c.wrap("set", c.incoming.setReadDeadline(at))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	return c.wrap("set", c.outgoing.setWriteDeadline(at))
}

// wrap wraps an error in a net.OpError, as package net does.
func (c *conn) wrap(operation string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
