package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// promptSilence is how long data that was sent may stay unacknowledged, and how
	// long an idle peer may leave probes unanswered, before a connection breaks.
	promptSilence  = 1500 * time.Millisecond
	promptIdle     = time.Second
	promptInterval = 500 * time.Millisecond
	promptProbes   = 2
)

// prompt is TCP whose connections break soon after their peer falls silent.
type prompt struct {
	control func(network, address string, conn syscall.RawConn) error
}

// Prompt returns TCP whose connections break within seconds when the peer's machine
// loses power or is cut off: by keep-alive probes when idle, and by a bound on
// unacknowledged data otherwise.
func Prompt() Network { return prompt{control: limitSilence} }

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: promptIdle, Interval: promptInterval, Count: promptProbes}
}

// Listen implements Network.
func (p prompt) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: p.control}
	return config.Listen(ctx, "tcp", address)
}

// DialContext implements Network.
func (p prompt) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive(), Control: p.control}
	return dialer.DialContext(ctx, network, address)
}

// limitSilence bounds how long sent data may stay unacknowledged. A system without
// the option keeps its own bound.
func limitSilence(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(promptSilence.Milliseconds()))
	})
}
