package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultUserTimeout is the time that sent data or keep-alive probes may remain
	// unacknowledged before a connection breaks (TCP_USER_TIMEOUT).
	defaultUserTimeout = 1500 * time.Millisecond
	keepAliveIdle      = time.Second
	keepAliveInterval  = 500 * time.Millisecond
	keepAliveProbes    = 2
)

// failFastTCP is TCP with fast detection of unreachable peers.
type failFastTCP struct {
	userTimeout time.Duration
	// bearsClosedWindow is set if a peer that is slow to read does not break connections.
	bearsClosedWindow bool
}

// Prompt returns TCP whose connections break within seconds after the peer's machine
// becomes unreachable: by keep-alive probes when idle, and by TCP_USER_TIMEOUT otherwise.
// A reachable peer may stop reading for longer.
func Prompt() Network { return failFastTCP{userTimeout: defaultUserTimeout, bearsClosedWindow: true} }

// PromptWithin returns TCP like Prompt with another TCP_USER_TIMEOUT, which also bounds how long
// the peer may stop reading. The system applies it also while the process is stopped: afterwards
// no unacknowledged data is sent again.
func PromptWithin(userTimeout time.Duration) Network { return failFastTCP{userTimeout: userTimeout} }

// ForControl returns the network for messages between daemons. Connections of Prompt then break also if the peer stops reading for the
// TCP_USER_TIMEOUT, so that messages soon go over a new one; any other network is returned as it is.
func ForControl(over Network) Network {
	prompt, isPrompt := over.(failFastTCP)
	if !isPrompt {
		return over
	}
	prompt.bearsClosedWindow = false
	return prompt
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// Listen implements Network.
func (p failFastTCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: p.control}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil || !p.bearsClosedWindow {
		return listener, err
	}
	return &promptListener{listener}, nil
}

// DialContext implements Network.
func (p failFastTCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig(), Control: p.control}
	conn, err := dialer.DialContext(ctx, network, address)
	if tcp, isTCP := conn.(*net.TCPConn); isTCP && err == nil && p.bearsClosedWindow {
		return newPromptConn(tcp), nil
	}
	return conn, err
}

// control sets the options of a new socket.
func (p failFastTCP) control(_, _ string, conn syscall.RawConn) error {
	return setUserTimeout(conn, p.userTimeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT. Errors are ignored, so systems without the option
// use their default.
func setUserTimeout(conn syscall.RawConn, userTimeout time.Duration) error {
	return conn.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
