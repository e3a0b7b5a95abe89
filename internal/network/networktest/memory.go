package networktest

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/lotusferry/lotusferry/internal/network"
)

const (
	// DefaultBufferBytes is the buffer size of each direction of a connection.
	DefaultBufferBytes = 256 << 10
	// firstFreePort is the first port assigned for port 0 and to dialling ends.
	firstFreePort = 32768
)

// clientIP is the local address of dialling ends.
var clientIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Memory is an in-memory network, isolated from other Memory values. For use in a
// synctest bubble, it must be created in the bubble.
type Memory struct {
	mutex       sync.Mutex
	bufferBytes int
	listeners   map[netip.AddrPort]*listener
	nextPort    uint16
	machines    map[netip.Addr]*machine
}

var _ network.Network = (*Memory)(nil)

// NewMemory returns a network whose connections buffer bufferBytes in each direction; 0
// means DefaultBufferBytes.
func NewMemory(bufferBytes int) *Memory {
	if bufferBytes == 0 {
		bufferBytes = DefaultBufferBytes
	}
	return &Memory{
		bufferBytes: bufferBytes, listeners: map[netip.AddrPort]*listener{}, nextPort: firstFreePort,
		machines: map[netip.Addr]*machine{},
	}
}

// Listen implements network.Network.
func (m *Memory) Listen(_ context.Context, address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if parsed.Port() == 0 {
		parsed = netip.AddrPortFrom(parsed.Addr(), m.freePort())
	}
	if m.listeners[parsed] != nil {
		cause := os.NewSyscallError("bind", syscall.EADDRINUSE)
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(parsed), Err: cause}
	}
	opened := newListener(m, parsed)
	m.listeners[parsed] = opened
	return opened, nil
}

// DialContext implements network.Network. It returns before the connection is accepted.
func (m *Memory) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return m.dial(ctx, clientIP, address)
}

// dial connects from a machine to an address.
func (m *Memory) dial(ctx context.Context, from netip.Addr, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	remote := net.TCPAddrFromAddrPort(parsed)
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	ends := []*machine{m.machine(from), m.machine(parsed.Addr())}
	if err := awaitConnect(ctx, ends); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	if refusesConnects(ends) {
		return nil, refused(remote)
	}
	m.mutex.Lock()
	target := m.listeners[parsed]
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, m.freePort()))
	m.mutex.Unlock()
	dialled, accepted := newConnPair(local, remote, m.bufferBytes, ends)
	if ends[0].partitionFrom(ends[1]) == PartitionAccepts {
		accepted.reset()
		return dialled, nil
	}
	if target == nil || !target.enqueue(accepted) {
		return nil, refused(remote)
	}
	return dialled, nil
}

// refused is the error of a connect that is refused.
func refused(remote net.Addr) error {
	cause := os.NewSyscallError("connect", syscall.ECONNREFUSED)
	return &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: cause}
}

// freePort returns the next port, wrapping around at the end of the range. The caller
// holds the mutex.
func (m *Memory) freePort() uint16 {
	port := m.nextPort
	m.nextPort++
	if m.nextPort == 0 {
		m.nextPort = firstFreePort
	}
	return port
}

// removeListener releases the address of a closed listener.
func (m *Memory) removeListener(address netip.AddrPort) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.listeners, address)
}
