package network

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections. Addresses are IP:port.
type Network interface {
	// Listen listens on an address; port 0 selects a free port. ctx applies to the
	// opening only.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to an address; network is "tcp". ctx applies to the connecting
	// only.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialFunc connects to an address. It has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCP is the TCP network of the operating system.
type TCP struct {
	// KeepAlive configures the keep-alive probes; the zero value means the defaults of
	// package net.
	KeepAlive net.KeepAliveConfig
}

var _ Network = TCP{}

// Listen implements Network.
func (t TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: t.KeepAlive}
	return config.Listen(ctx, "tcp", address)
}

// DialContext implements Network.
func (t TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: t.KeepAlive}
	return dialer.DialContext(ctx, network, address)
}

// OrTCP returns network, or TCP{} if network is nil.
func OrTCP(network Network) Network {
	if network == nil {
		return TCP{}
	}
	return network
}

// DialWithin returns a DialFunc for network that applies the timeout to each dial.
func DialWithin(network Network, timeout time.Duration) DialFunc {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return network.DialContext(ctx, protocol, address)
	}
}

// As returns the first connection of type T among the given one and those that it wraps, as their method NetConn tells.
func As[T any](conn net.Conn) (found T, isFound bool) {
	for {
		if found, isFound = conn.(T); isFound {
			return found, true
		}
		wrapper, isWrapper := conn.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return found, false
		}
		conn = wrapper.NetConn()
	}
}
