package networktest_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

var (
	caller = netip.MustParseAddr("10.0.0.1")
	callee = netip.MustParseAddr("127.0.0.1")
)

// Data that is written while a machine is cut off arrives later, also from a connection that was
// closed, unless it was reset. What arrived before can be read all the time.
func TestCutHoldsDataUntilRestored(t *testing.T) {
	for name, test := range map[string]struct {
		resets bool
		want   string
	}{"closed": {false, "held"}, "reset": {true, ""}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				dialled, accepted := connect(c, memory.From(caller))
				if test.resets {
					c.Assert(dialled.(interface{ SetLinger(int) error }).SetLinger(0), qt.IsNil)
				}
				send(c, dialled, "first")
				memory.Cut(callee)
				send(c, dialled, "held")
				c.Assert(dialled.Close(), qt.IsNil)
				buffer := make([]byte, 16)
				count, err := accepted.Read(buffer)
				c.Assert(err, qt.IsNil)
				c.Assert(string(buffer[:count]), qt.Equals, "first")
				c.Assert(accepted.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
				_, err = accepted.Read(buffer)
				c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
				c.Assert(accepted.SetReadDeadline(time.Time{}), qt.IsNil)
				time.AfterFunc(time.Second, func() { memory.Restore(callee) })
				late, err := io.ReadAll(accepted)
				c.Assert(string(late), qt.Equals, test.want)
				c.Assert(err != nil, qt.Equals, test.resets)
			})
		})
	}
}

// A connect to a machine that is off gets no answer. It is repeated after 1 and 3 s.
func TestConnectToMachineThatIsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		listener, err := memory.Listen(context.Background(), "10.0.0.1:7000")
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		from := memory.From(netip.MustParseAddr("10.0.0.2"))
		memory.Cut(netip.MustParseAddr("10.0.0.1"))
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
		defer cancel()
		_, err = from.DialContext(ctx, "tcp", "10.0.0.1:7000")
		c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
		c.Assert(time.Since(begun), qt.Equals, 800*time.Millisecond)
		time.AfterFunc(1500*time.Millisecond, func() { memory.Restore(netip.MustParseAddr("10.0.0.1")) })
		begun = time.Now()
		conn, err := from.DialContext(context.Background(), "tcp", "10.0.0.1:7000")
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(begun), qt.Equals, 3*time.Second)
		c.Assert(conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr(), qt.Equals, netip.MustParseAddr("10.0.0.2"))
		c.Assert(conn.Close(), qt.IsNil)
	})
}
