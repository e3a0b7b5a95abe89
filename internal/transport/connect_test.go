package transport

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/pause"
)

var peerMachine = netip.MustParseAddr("127.0.0.1")

// countingNetwork counts connects and the connections that are open.
type countingNetwork struct {
	network.Network
	dials, open chan struct{}
}

func (n countingNetwork) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	n.dials <- struct{}{}
	conn, err := n.Network.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	n.open <- struct{}{}
	return countedClose{conn, n.open}, nil
}

type countedClose struct {
	net.Conn
	open chan struct{}
}

func (c countedClose) Close() error {
	<-c.open
	return c.Conn.Close()
}

// A peer that was off at the first connect must be reached soon after it is up: the system itself
// repeats a lost connect only after 1 s.
func TestPeerIsReachedSoonAfterItIsUp(t *testing.T) {
	for name, test := range map[string]struct {
		upAfter, within time.Duration
		dials           int
	}{
		"up":              {0, 0, 1},
		"up after 0.3 s":  {300 * time.Millisecond, 450 * time.Millisecond, 4},
		"up after 0.62 s": {620 * time.Millisecond, 750 * time.Millisecond, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				server, _ := startServer(c, Options{Network: memory})
				over := countingNetwork{memory.From(netip.MustParseAddr("10.0.0.1")), make(chan struct{}, 99), make(chan struct{}, 99)}
				client := startClient(c, Options{Network: over, DialTimeout: 800 * time.Millisecond})
				if test.upAfter > 0 {
					memory.Cut(peerMachine)
					time.AfterFunc(test.upAfter-time.Millisecond, func() { memory.Restore(peerMachine) })
				}
				began := time.Now()
				reply, err := echo(client, server.Address(), "text")
				c.Assert(err, qt.IsNil)
				c.Assert(reply, qt.Equals, "text")
				c.Assert(time.Since(began) <= test.within, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				c.Assert(len(over.dials) <= test.dials, qt.IsTrue, qt.Commentf("%d dials", len(over.dials)))
				pause.For(context.Background(), 10*time.Second)
				c.Assert(over.open, qt.HasLen, 1)
			})
		})
	}
}

// A peer that refuses is up, so that the refusal counts at once.
func TestRefusalIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		over := countingNetwork{networktest.NewMemory(0), make(chan struct{}, 99), make(chan struct{}, 99)}
		client := startClient(c, Options{Network: over})
		began := time.Now()
		_, err := echo(client, "127.0.0.1:9", "text")
		c.Assert(err, qt.IsNotNil)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		c.Assert(over.dials, qt.HasLen, 1)
	})
}

// A peer that was down for long has a backoff of up to 2 s, which must not hold up calls once
// something was heard from it.
func TestNoteReachableLimitsBackoff(t *testing.T) {
	for _, isNoted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			memory := networktest.NewMemory(0)
			client := startClient(c, Options{Network: memory, Random: func() uint64 { return 0 }})
			for range 200 {
				_, err := echo(client, "127.0.0.1:7000", "text")
				c.Assert(err, qt.IsNotNil)
				pause.For(context.Background(), 50*time.Millisecond)
			}
			startServer(c, Options{Network: memory, Address: "127.0.0.1:7000"})
			began := time.Now()
			for {
				if isNoted {
					client.NoteReachable("127.0.0.1:7000")
				}
				if _, err := echo(client, "127.0.0.1:7000", "text"); err == nil {
					break
				}
				pause.For(context.Background(), 10*time.Millisecond)
			}
			c.Assert(time.Since(began) <= knownPeerBackoff, qt.Equals, isNoted, qt.Commentf("%v", time.Since(began)))
		})
	}
}
