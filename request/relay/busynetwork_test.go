package relay

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

const (
	// messageTime is the processor time of a controller for one message that it sends: about that of
	// a reply to a watch.
	messageTime = 200 * time.Microsecond
	// controllerLinkBytes is the bandwidth of a controller's link in bytes per second.
	controllerLinkBytes = 125e6
	// busyBufferBytes is more than any connection of a test has under way.
	busyBufferBytes = 1 << 30
)

// busyNetwork is an in-memory network with a latency and with machines that send one message after
// the other, over all their connections: each message waits for those that the machine was given
// before. Other machines send at once.
type busyNetwork struct {
	memory  *networktest.Memory
	latency time.Duration

	mutex sync.Mutex
	// freeAt is, by IP, when each machine that sends one message after the other has sent all so far.
	freeAt map[string]time.Time
}

// newBusyNetwork returns a network in which the machines with the given IPs send one message after
// the other.
func newBusyNetwork(latency time.Duration, busyIPs []string) *busyNetwork {
	n := &busyNetwork{memory: networktest.NewMemory(busyBufferBytes), latency: latency, freeAt: make(map[string]time.Time)}
	for _, ip := range busyIPs {
		n.freeAt[ip] = time.Time{}
	}
	return n
}

// send returns when a message that a machine sends now arrives.
func (n *busyNetwork) send(ip string, bytes int) time.Time {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	freeAt, isBusy := n.freeAt[ip]
	if !isBusy {
		return now.Add(n.latency)
	}
	if freeAt.Before(now) {
		freeAt = now
	}
	freeAt = freeAt.Add(messageTime + time.Duration(float64(bytes)/controllerLinkBytes*float64(time.Second)))
	n.freeAt[ip] = freeAt
	return freeAt.Add(n.latency)
}

// from returns the network as the machine with an IP uses it.
func (n *busyNetwork) from(ip string) network.Network {
	return busyNetworkAt{Network: n.memory.From(netip.MustParseAddr(ip)), busy: n, ip: ip}
}

type busyNetworkAt struct {
	network.Network
	busy *busyNetwork
	ip   string
}

// Listen implements network.Network.
func (a busyNetworkAt) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := a.Network.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return busyListener{listener, a}, nil
}

// DialContext implements network.Network.
func (a busyNetworkAt) DialContext(ctx context.Context, protocol, address string) (net.Conn, error) {
	timer := time.NewTimer(2 * a.busy.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: protocol, Err: ctx.Err()}
	}
	conn, err := a.Network.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	return &busyConn{Conn: conn, at: a}, nil
}

type busyListener struct {
	net.Listener
	at busyNetworkAt
}

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{Conn: conn, at: l.at}, nil
}

// busyConn is one end of a connection. Closing it discards what has not arrived.
type busyConn struct {
	net.Conn
	at busyNetworkAt

	mutex sync.Mutex
	// underWay are the messages that have not arrived, in the order in which they were sent.
	underWay [][]byte
}

// Write implements net.Conn. Each call is one message. It does not wait until the message is sent.
func (c *busyConn) Write(message []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	arrival := c.at.busy.send(c.at.ip, len(message))
	c.underWay = append(c.underWay, bytes.Clone(message))
	time.AfterFunc(time.Until(arrival), c.deliver)
	return len(message), nil
}

// deliver passes the next message to the peer. One that the peer no longer takes is lost.
func (c *busyConn) deliver() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	next := c.underWay[0]
	c.underWay = c.underWay[1:]
	_, _ = c.Conn.Write(next)
}
