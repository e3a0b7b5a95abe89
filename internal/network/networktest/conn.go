package networktest

import (
	"io"
	"net"
	"time"
)

// conn is one end of a connection.
type conn struct {
	local, remote      *net.TCPAddr
	incoming, outgoing *stream
}

// newConnPair makes both ends of a connection; the first is the dialling one.
func newConnPair(local, remote *net.TCPAddr, bufferBytes int) (*conn, *conn) {
	there := newStream(bufferBytes)
	back := newStream(bufferBytes)
	dialled := &conn{local: local, remote: remote, incoming: back, outgoing: there}
	accepted := &conn{local: remote, remote: local, incoming: there, outgoing: back}
	return dialled, accepted
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	count, err := c.incoming.read(buffer)
	return count, c.wrap("read", err)
}

// Write implements net.Conn. It waits while the buffer is full.
func (c *conn) Write(buffer []byte) (int, error) {
	count, err := c.outgoing.write(buffer)
	return count, c.wrap("write", err)
}

// Close implements net.Conn. The peer reads what was sent and then the end, or a
// reset when it had sent what was not read.
func (c *conn) Close() error {
	unread, err := c.incoming.closeReader()
	if err != nil {
		return c.wrap("close", err)
	}
	if unread {
		c.outgoing.reset()
	}
	c.outgoing.closeWriter()
	return nil
}

// CloseWrite ends the sending direction, as net.TCPConn does.
func (c *conn) CloseWrite() error {
	c.outgoing.closeWriter()
	return nil
}

// reset ends a connection that nobody accepted.
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

// wrap gives an error the form that package net gives it.
func (c *conn) wrap(operation string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
