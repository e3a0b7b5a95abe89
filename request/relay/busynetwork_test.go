package relay

import (
	"bytes"
	"context"
	"math"
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
// before. Other machines send at once. The link of a machine that receives
// limits what comes from each sender.
type busyNetwork struct {
	memory  *networktest.Memory
	latency time.Duration
	// linkBytes is the bandwidth of the links of machines that send one message after the other, and
	// receiverLinkBytes that of the links of all others, in bytes per second.
	linkBytes, receiverLinkBytes float64

	mutex sync.Mutex
	// freeAt is, by IP, when each machine that sends one message after the other has sent all so far.
	freeAt map[string]time.Time
	// receivedAt is when the other machines have received all that each machine has sent to them so far.
	receivedAt map[ipPair]time.Time
	// largeBytes is the size from which messages are counted.
	largeBytes int
	// sentLarge counts, by IP, the large messages of machines that send one message after the other to other ones.
	sentLarge map[string]int
}

// ipPair is a sender and a receiver of messages.
type ipPair struct{ from, to string }

// newBusyNetwork returns a network in which the machines with the given IPs send one message after
// the other.
func newBusyNetwork(latency time.Duration, busyIPs []string) *busyNetwork {
	n := &busyNetwork{
		memory: networktest.NewMemory(busyBufferBytes), latency: latency, linkBytes: controllerLinkBytes, receiverLinkBytes: math.Inf(1),
		freeAt: make(map[string]time.Time), receivedAt: make(map[ipPair]time.Time), largeBytes: math.MaxInt, sentLarge: make(map[string]int),
	}
	for _, ip := range busyIPs {
		n.freeAt[ip] = time.Time{}
	}
	return n
}

// send returns when a message that a machine sends to another one now arrives.
func (n *busyNetwork) send(from, to string, bytes int) time.Time {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	sentAt := now
	if freeAt, isBusy := n.freeAt[from]; isBusy {
		sentAt = later(freeAt, now).Add(messageTime + transferTime(bytes, n.linkBytes))
		n.freeAt[from] = sentAt
	}
	arrivedAt := sentAt.Add(n.latency)
	if _, isBusy := n.freeAt[to]; isBusy {
		return arrivedAt
	}
	if bytes >= n.largeBytes {
		n.sentLarge[from]++
	}
	pair := ipPair{from, to}
	arrivedAt = later(n.receivedAt[pair], arrivedAt).Add(transferTime(bytes, n.receiverLinkBytes))
	n.receivedAt[pair] = arrivedAt
	return arrivedAt
}

// largeMessages returns how many large messages a machine that sends one message after the other has sent to other ones.
func (n *busyNetwork) largeMessages(ip string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sentLarge[ip]
}

// transferTime returns how long a link with a bandwidth in bytes per second is busy with a message.
func transferTime(bytes int, bandwidth float64) time.Duration {
	return time.Duration(float64(bytes) / bandwidth * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ipOf returns the IP of an address with a port.
func ipOf(address net.Addr) string {
	ip, _, _ := net.SplitHostPort(address.String())
	return ip
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
	arrival := c.at.busy.send(c.at.ip, ipOf(c.RemoteAddr()), len(message))
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
