package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// slowNetwork is a network on which connects take the given time.
type slowNetwork struct {
	partitionedNetwork
	delay time.Duration
}

func (n *slowNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if !pause.For(ctx, n.delay) {
		return nil, ctx.Err()
	}
	conn, other := net.Pipe()
	return conn, other.Close()
}

// A zone whose latency rises above the learned timeout must not stay unreachable.
func TestConnectTimeoutAdaptsToSlowerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &slowNetwork{delay: 2 * time.Millisecond}
		connects := NewRunnerDialer(network)
		connects.setZone("b0", "b")
		dial := func() bool {
			conn, err := connects.DialContext(t.Context(), "tcp", "b0")
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		}
		for range 20 {
			c.Assert(dial(), qt.IsTrue)
		}
		network.delay = 200 * time.Millisecond
		c.Assert(dial(), qt.IsFalse)
		missed := 1
		for missed < 10 && !dial() {
			missed++
		}
		c.Assert(missed < 10, qt.IsTrue)
		for range 20 {
			c.Assert(dial(), qt.IsTrue)
		}
	})
}
