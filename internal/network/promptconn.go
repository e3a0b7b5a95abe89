package network

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unreadBytes is how much may be sent before the peer is assumed to have closed its receive window. The system of a peer
	// that reads nothing accepts a multiple of it.
	unreadBytes = 16 << 10
	// closedWindowTimeout is the TCP_USER_TIMEOUT from then on. Linux counts the time during which the window of a reachable
	// peer is closed, and a peer may pause for seconds.
	closedWindowTimeout = 10 * time.Second
)

// promptConn is a TCP connection that breaks soon if its peer becomes unreachable, but not if the peer is slow to read.
type promptConn struct {
	net.Conn
	tcp *net.TCPConn
	// userTimeout is the TCP_USER_TIMEOUT while the peer's window is certainly open; 0 for none.
	userTimeout time.Duration

	mutex sync.Mutex
	// sent counts the bytes written since the peer last sent something.
	sent int
	// isExtended is set while closedWindowTimeout is in force.
	isExtended bool
}

// newPromptConn returns a promptConn with the user timeout that the connection has. Connections that are accepted by Multipath TCP,
// the default of package net, do not inherit that of the listener.
func newPromptConn(tcp *net.TCPConn) *promptConn {
	return &promptConn{Conn: tcp, tcp: tcp, userTimeout: userTimeout(tcp)}
}

// Read implements net.Conn.
func (c *promptConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.noteReceived()
	}
	return count, err
}

// Write implements net.Conn.
func (c *promptConn) Write(buffer []byte) (int, error) {
	c.noteSending(len(buffer))
	return c.Conn.Write(buffer)
}

// CloseWrite closes the sending direction, as net.TCPConn does.
func (c *promptConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what Close does with unsent data, as net.TCPConn does.
func (c *promptConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// noteSending extends the user timeout if the peer's window may close.
func (c *promptConn) noteSending(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sent += count; c.sent > unreadBytes && !c.isExtended && c.userTimeout > 0 {
		c.isExtended = true
		c.setUserTimeout(closedWindowTimeout)
	}
}

// noteReceived restores the user timeout once the peer's system has acknowledged all that was sent. A peer may answer before it
// has read the whole of a request.
func (c *promptConn) noteReceived() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isExtended {
		if c.unacknowledged() > 0 {
			return
		}
		c.isExtended = false
		c.setUserTimeout(c.userTimeout)
	}
	c.sent = 0
}

// unacknowledged returns the bytes that the peer's system has not acknowledged; 0 if the connection is closed.
func (c *promptConn) unacknowledged() (count int) {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(descriptor uintptr) { count, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) })
	return count
}

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(tcp *net.TCPConn) time.Duration {
	count := 0
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) {
			count, _ = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
	}
	return time.Duration(count) * time.Millisecond
}

func (c *promptConn) setUserTimeout(timeout time.Duration) {
	if raw, err := c.tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, timeout)
	}
}

// promptListener accepts promptConns.
type promptListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *promptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, isTCP := conn.(*net.TCPConn); isTCP && err == nil {
		return newPromptConn(tcp), nil
	}
	return conn, err
}
