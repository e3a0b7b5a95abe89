package transport

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/structs"
)

// slowDialNetwork delays each dial.
type slowDialNetwork struct {
	network.Network
	delay time.Duration
}

func (n slowDialNetwork) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	pause.For(ctx, n.delay)
	return n.Network.DialContext(ctx, protocol, address)
}

// Guards against a half-open connection that a slow dial opened and that stays in use after all its
// calls have timed out, because their time counts from before the dial.
func TestUnresponsiveConnectionOfSlowDialIsDropped(t *testing.T) {
	const calls = 8
	for _, delay := range []time.Duration{0, shortTimeout / 20, shortTimeout / 6, shortTimeout / 2, shortTimeout - 1, shortTimeout, shortTimeout + 1} {
		t.Run(fmt.Sprint("dial of ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				memory := networktest.NewMemory(0)
				server, service := startServer(c, Options{Network: memory})
				c.Cleanup(func() { close(service.gate) })
				client := startClient(c, Options{Network: slowDialNetwork{memory, delay}, CallTimeout: shortTimeout})
				failures := make(chan error, calls)
				for range calls {
					go func() {
						var reply string
						failures <- client.Call(context.Background(), server.Address(), "Echo.Wait", "", &reply)
					}()
				}
				for range calls {
					kind := structs.KindOf(<-failures)
					c.Assert(kind == structs.ErrorDeadline || kind == structs.ErrorUnavailable, qt.IsTrue, qt.Commentf("%s", kind))
				}
				target := client.peer(server.Address())
				target.mutex.Lock()
				defer target.mutex.Unlock()
				c.Assert(target.current == nil, qt.IsTrue)
			})
		})
	}
}

// A call to a peer that answers needs the dial and the reply to be quick enough, each by itself.
func TestSlowDialLeavesTimeForTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, _ := startServer(c, Options{Network: memory})
		client := startClient(c, Options{Network: slowDialNetwork{memory, 3 * shortTimeout}, CallTimeout: shortTimeout})
		reply, err := echo(client, server.Address(), "text")
		c.Assert(err, qt.IsNil)
		c.Assert(reply, qt.Equals, "text")
	})
}

// The deadline of the caller's context bounds the dial and the reply together.
func TestContextBoundsTheDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		server, _ := startServer(c, Options{Network: memory})
		client := startClient(c, Options{Network: slowDialNetwork{memory, time.Second}})
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		began := time.Now()
		var reply string
		err := client.Call(ctx, server.Address(), "Echo.Echo", "text", &reply)
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorDeadline)
		c.Assert(NotSent(err), qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, shortTimeout)
	})
}
