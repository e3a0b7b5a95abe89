package networktest_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

const anyPort = "127.0.0.1:0"

// connect returns the dialling and the accepting end of a new connection.
func connect(c *qt.C, over network.Network) (net.Conn, net.Conn) {
	listener, err := over.Listen(context.Background(), anyPort)
	c.Assert(err, qt.IsNil)
	dialled, err := over.DialContext(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	c.Cleanup(func() {
		dialled.Close()
		accepted.Close()
	})
	return dialled, accepted
}

func send(c *qt.C, conn net.Conn, text string) {
	_, err := conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
}

// TestMemoryBehavesLikeTCP runs the same checks on both networks.
func TestMemoryBehavesLikeTCP(t *testing.T) {
	behaviours := []struct {
		about string
		check func(c *qt.C, over network.Network)
	}{
		{"ends know each other's address", func(c *qt.C, over network.Network) {
			dialled, accepted := connect(c, over)
			c.Assert(dialled.LocalAddr(), qt.DeepEquals, accepted.RemoteAddr())
			c.Assert(dialled.RemoteAddr(), qt.DeepEquals, accepted.LocalAddr())
		}},
		{"sent data is read before EOF", func(c *qt.C, over network.Network) {
			dialled, accepted := connect(c, over)
			send(c, dialled, "all")
			c.Assert(dialled.Close(), qt.IsNil)
			text, err := io.ReadAll(accepted)
			c.Assert(err, qt.IsNil)
			c.Assert(string(text), qt.Equals, "all")
		}},
		{"a half-closed connection still receives", func(c *qt.C, over network.Network) {
			dialled, accepted := connect(c, over)
			c.Assert(dialled.(interface{ CloseWrite() error }).CloseWrite(), qt.IsNil)
			_, err := io.ReadAll(accepted)
			c.Assert(err, qt.IsNil)
			send(c, accepted, "x")
			_, err = dialled.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
		}},
		{"closing with unread bytes resets", func(c *qt.C, over network.Network) {
			dialled, accepted := connect(c, over)
			send(c, dialled, "unread")
			_, err := accepted.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
			c.Assert(accepted.Close(), qt.IsNil)
			_, err = io.ReadAll(dialled)
			c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		}},
		{"a closed end fails", func(c *qt.C, over network.Network) {
			dialled, _ := connect(c, over)
			c.Assert(dialled.Close(), qt.IsNil)
			_, err := dialled.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, net.ErrClosed)
			_, err = dialled.Write([]byte("x"))
			c.Assert(err, qt.ErrorIs, net.ErrClosed)
			c.Assert(dialled.Close(), qt.ErrorIs, net.ErrClosed)
			c.Assert(dialled.SetDeadline(time.Time{}), qt.ErrorIs, net.ErrClosed)
		}},
		{"an expired deadline fails until it is removed", func(c *qt.C, over network.Network) {
			dialled, accepted := connect(c, over)
			send(c, accepted, "x")
			c.Assert(dialled.SetDeadline(time.Unix(1, 0)), qt.IsNil)
			_, err := dialled.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
			_, err = dialled.Write([]byte("x"))
			c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
			c.Assert(dialled.SetDeadline(time.Time{}), qt.IsNil)
			_, err = dialled.Read(make([]byte, 1))
			c.Assert(err, qt.IsNil)
		}},
		{"listening and dialling errors", func(c *qt.C, over network.Network) {
			listener, err := over.Listen(context.Background(), anyPort)
			c.Assert(err, qt.IsNil)
			_, err = over.Listen(context.Background(), listener.Addr().String())
			c.Assert(err, qt.ErrorIs, syscall.EADDRINUSE)
			c.Assert(listener.Close(), qt.IsNil)
			_, err = listener.Accept()
			c.Assert(err, qt.ErrorIs, net.ErrClosed)
			_, err = over.DialContext(context.Background(), "tcp", listener.Addr().String())
			c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
		}},
		{"closing the listener resets unaccepted connections", func(c *qt.C, over network.Network) {
			listener, err := over.Listen(context.Background(), anyPort)
			c.Assert(err, qt.IsNil)
			dialled, err := over.DialContext(context.Background(), "tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer dialled.Close()
			c.Assert(listener.Close(), qt.IsNil)
			_, err = dialled.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
		}},
	}
	for _, behaviour := range behaviours {
		t.Run(behaviour.about, func(t *testing.T) {
			t.Run("TCP", func(t *testing.T) { behaviour.check(qt.New(t), network.TCP{}) })
			t.Run("memory", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { behaviour.check(qt.New(t), networktest.NewMemory(0)) })
			})
		})
	}
}

func TestFullBufferBlocksWriteUntilReadOrDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dialled, accepted := connect(c, networktest.NewMemory(4))
		c.Assert(dialled.SetWriteDeadline(time.Now().Add(time.Hour)), qt.IsNil)
		begun := time.Now()
		count, err := dialled.Write([]byte("123456"))
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Assert(count, qt.Equals, 4)
		c.Assert(time.Since(begun), qt.Equals, time.Hour)
		c.Assert(dialled.SetWriteDeadline(time.Time{}), qt.IsNil)
		go func() {
			_, _ = dialled.Write([]byte("56"))
			_ = dialled.Close()
		}()
		text, err := io.ReadAll(accepted)
		c.Assert(err, qt.IsNil)
		c.Assert(string(text), qt.Equals, "123456")
	})
}

func TestDeadlineAndCloseUnblockRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dialled, _ := connect(c, networktest.NewMemory(0))
		for _, test := range []struct {
			wake func()
			want error
		}{
			{func() { _ = dialled.SetReadDeadline(time.Now()) }, os.ErrDeadlineExceeded},
			{func() { _ = dialled.Close() }, net.ErrClosed},
		} {
			c.Assert(dialled.SetReadDeadline(time.Time{}), qt.IsNil)
			time.AfterFunc(time.Second, test.wake)
			_, err := dialled.Read(make([]byte, 1))
			c.Assert(err, qt.ErrorIs, test.want)
		}
	})
}

// TestHTTPServerRunsInVirtualTime waits an hour of virtual time for a response.
func TestHTTPServerRunsInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		listener, err := memory.Listen(context.Background(), anyPort)
		c.Assert(err, qt.IsNil)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.WriteString(w, "late")
		})}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: memory.DialContext}
		begun := time.Now()
		response, err := (&http.Client{Transport: transport}).Get("http://" + listener.Addr().String())
		c.Assert(err, qt.IsNil)
		text, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(string(text), qt.Equals, "late")
		c.Assert(time.Since(begun), qt.Equals, time.Hour)
		transport.CloseIdleConnections()
		c.Assert(server.Shutdown(context.Background()), qt.IsNil)
	})
}
