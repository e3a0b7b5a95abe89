package network

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections. Addresses are IP:port.
type Network interface {
	// Listen listens on an address; port 0 means any free port. ctx bounds the
	// opening only.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to an address; network is "tcp". ctx bounds the connecting
	// only.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialFunc connects to an address, as http.Transport wants it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// TCP is the network of the machine.
type TCP struct {
	// KeepAlive configures the keep-alive probes; the zero value leaves the defaults
	// of package net.
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

// OrTCP returns the network, or TCP with the defaults of package net for nil.
func OrTCP(network Network) Network {
	if network == nil {
		return TCP{}
	}
	return network
}

// DialWithin returns a function that dials over the network and gives up after the
// timeout.
func DialWithin(network Network, timeout time.Duration) DialFunc {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return network.DialContext(ctx, protocol, address)
	}
}
