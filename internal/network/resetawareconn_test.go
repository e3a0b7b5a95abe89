package network_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

// failingConn is a connection on which a write takes the failure, so that reading ends as if the peer had ended it.
type failingConn struct {
	net.Conn
	failure error
}

// Read implements net.Conn.
func (failingConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c failingConn) Write([]byte) (int, error) { return 0, c.failure }

// Guards against a reset that only a write has seen and that is taken for an orderly end of what the peer sent (MIXED).
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	for _, test := range []struct {
		failure error
		isEnd   bool
	}{{syscall.ECONNRESET, false}, {syscall.EPIPE, false}, {syscall.ETIMEDOUT, false}, {net.ErrClosed, true}, {nil, true}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			dialled, accepted := connect(t)
			defer accepted.Close()
			defer dialled.Close()
			conn := network.NewResetAwareConn(failingConn{dialled, test.failure})
			_, err := conn.Write([]byte("request"))
			c.Assert(err, qt.Equals, test.failure)
			_, err = conn.Read(make([]byte, 1))
			if test.isEnd {
				c.Assert(err, qt.Equals, io.EOF)
				return
			}
			c.Assert(err, qt.ErrorIs, network.ErrWriteFailed)
			c.Assert(err, qt.ErrorIs, test.failure)
		})
	}
}

// Guards against a write that is cut, or repeated in part, as the peer has ended its sending side and goes on reading.
func TestWriteGoesOnAfterEndOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dialled, accepted := connect(t)
		conn := network.NewResetAwareConn(dialled)
		sent := strings.Repeat("0123456789", 1<<20)
		var writing sync.WaitGroup
		writing.Go(func() {
			count, err := io.WriteString(conn, sent)
			c.Check(count, qt.Equals, len(sent))
			c.Check(err, qt.IsNil)
			c.Check(conn.Close(), qt.IsNil)
		})
		synctest.Wait()
		c.Assert(accepted.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
		_, err := conn.Read(make([]byte, 1))
		c.Assert(err, qt.Equals, io.EOF)
		read, err := io.ReadAll(accepted)
		c.Assert(err, qt.IsNil)
		c.Assert(string(read) == sent, qt.IsTrue)
		writing.Wait()
		_ = accepted.Close()
	})
}

// connect returns both ends of a connection in memory.
func connect(t *testing.T) (dialled, accepted net.Conn) {
	t.Helper()
	c, memory := qt.New(t), networktest.NewMemory(0)
	listener, err := memory.Listen(t.Context(), "10.0.0.1:80")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	dialled, err = memory.DialContext(t.Context(), "tcp", "10.0.0.1:80")
	c.Assert(err, qt.IsNil)
	accepted, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	return dialled, accepted
}
