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

// slowNetwork is a network on which a connect takes so long.
type slowNetwork struct {
	cutNetwork
	takes time.Duration
}

func (n *slowNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if !pause.For(ctx, n.takes) {
		return nil, ctx.Err()
	}
	conn, other := net.Pipe()
	return conn, other.Close()
}

// A way that turns slower than what a connect was given until then is still learned: else no runner of
// the zone could be connected to for as long as the way stays slow.
func TestConnectsFollowAWayThatTurnsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := &slowNetwork{takes: 2 * time.Millisecond}
		connects := NewConnects(network)
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
		network.takes = 200 * time.Millisecond
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
