package network

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// connectPrompt returns the dialled and the accepted end of a connection of Prompt.
func connectPrompt(c *qt.C) (dialled, accepted net.Conn) {
	c.Helper()
	listener, err := Prompt().Listen(c.Context(), "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialled, err = Prompt().DialContext(c.Context(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = dialled.Close() })
	accepted, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = accepted.Close() })
	return dialled, accepted
}

// userTimeoutOf returns the TCP_USER_TIMEOUT of a connection.
func userTimeoutOf(conn net.Conn) time.Duration { return userTimeout(conn.(*promptConn).tcp) }

// Guards against connections that break because a sound peer reads nothing for longer than the user timeout (LOST).
func TestConnectionOutlastsPeerThatIsSlowToRead(t *testing.T) {
	const size = 8 << 20
	for name, isAccepted := range map[string]bool{"dialled end sends": false, "accepted end sends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			sender, reader := connectPrompt(c)
			if isAccepted {
				// Where the listener does not use Multipath TCP, the option is inherited.
				accepted := reader.(*promptConn)
				accepted.setUserTimeout(defaultUserTimeout)
				sender, reader = newPromptConn(accepted.tcp), sender
			}
			written := make(chan error, 1)
			go func() {
				_, err := sender.Write(make([]byte, size))
				written <- err
				_ = sender.Close()
			}()
			time.Sleep(2 * defaultUserTimeout)
			count, err := io.Copy(io.Discard, reader)
			c.Assert(err, qt.IsNil)
			c.Assert(count, qt.Equals, int64(size))
			c.Assert(<-written, qt.IsNil)
		})
	}
}

// Guards against connections that stay slow to notice an unreachable peer after one large message.
func TestUserTimeoutIsExtendedForLargeMessagesOnly(t *testing.T) {
	c := qt.New(t)
	sender, peer := connectPrompt(c)
	exchange := func(sent, answered int) {
		_, err := sender.Write(make([]byte, sent))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(peer, make([]byte, sent))
		c.Assert(err, qt.IsNil)
		_, err = peer.Write(make([]byte, answered))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(sender, make([]byte, answered))
		c.Assert(err, qt.IsNil)
	}
	for range 3 {
		exchange(unreadBytes, 1)
		c.Assert(userTimeoutOf(sender), qt.Equals, defaultUserTimeout)
	}
	_, err := sender.Write(make([]byte, unreadBytes+1))
	c.Assert(err, qt.IsNil)
	c.Assert(userTimeoutOf(sender), qt.Equals, closedWindowTimeout)
	_, err = io.ReadFull(peer, make([]byte, unreadBytes+1))
	c.Assert(err, qt.IsNil)
	exchange(1, 1)
	c.Assert(userTimeoutOf(sender), qt.Equals, defaultUserTimeout)
}

// Guards against an answer to half a request that makes the rest of the request subject to the short user timeout.
func TestUserTimeoutStaysExtendedWhileDataIsUnread(t *testing.T) {
	c := qt.New(t)
	sender, peer := connectPrompt(c)
	written := make(chan error, 1)
	const size = 16 << 20
	go func() {
		_, err := sender.Write(make([]byte, size))
		written <- err
	}()
	_, err := io.ReadFull(peer, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	_, err = peer.Write([]byte("early"))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadFull(sender, make([]byte, len("early")))
	c.Assert(err, qt.IsNil)
	c.Assert(userTimeoutOf(sender), qt.Equals, closedWindowTimeout)
	_, err = io.ReadFull(peer, make([]byte, size-1))
	c.Assert(err, qt.IsNil)
	c.Assert(<-written, qt.IsNil)
}

// Guards against control messages that wait for seconds on a connection to a machine that is gone: large ones would extend its timeout.
func TestControlConnectionsKeepShortUserTimeout(t *testing.T) {
	c := qt.New(t)
	listener, err := ForControl(Prompt()).Listen(c.Context(), "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialled, err := ForControl(Prompt()).DialContext(c.Context(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer dialled.Close()
	_, err = dialled.Write(make([]byte, 2*unreadBytes))
	c.Assert(err, qt.IsNil)
	c.Assert(userTimeout(dialled.(*net.TCPConn)), qt.Equals, defaultUserTimeout)
}
