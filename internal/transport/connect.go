package transport

import (
	"context"
	"net"
	"time"
)

// connectInterval is the interval at which an unanswered connect is repeated by a further one. The
// system repeats a lost first packet only after 1 s, so that a peer whose machine was still off at
// the first connect would stay unreachable until the dial times out. It exceeds a round trip
// between regions (40 ms), so that a peer that is up gets one connect.
const connectInterval = 150 * time.Millisecond

// connected is the result of one connect.
type connected struct {
	conn net.Conn
	err  error
}

// connectRepeatedly connects to an address, by a further connect every connectInterval while none
// is answered. The first answer counts, also if it is a refusal.
func (c *Client) connectRepeatedly(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan connected)
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		go c.connectOnce(ctx, address, answers)
		select {
		case first := <-answers:
			return first.conn, first.err
		case <-ticker.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connectOnce passes on the result of a connect, or closes the connection if another was quicker.
func (c *Client) connectOnce(ctx context.Context, address string, answers chan<- connected) {
	conn, err := c.options.Network.DialContext(ctx, "tcp", address)
	select {
	case answers <- connected{conn, err}:
	case <-ctx.Done():
		if err == nil {
			_ = conn.Close()
		}
	}
}
