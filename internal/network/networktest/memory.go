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
	// DefaultBufferBytes is how much one direction of a connection holds before the
	// writer waits.
	DefaultBufferBytes = 256 << 10
	// firstFreePort is where the ports begin that are given for port 0 and to
	// dialling ends.
	firstFreePort = 32768
)

// clientIP is the address that every connection is dialled from.
var clientIP = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// Memory is a network in memory. Each Memory is apart from all others. One that is
// used in a synctest bubble must be made in it.
type Memory struct {
	mutex       sync.Mutex
	bufferBytes int
	listeners   map[netip.AddrPort]*listener
	nextPort    uint16
}

var _ network.Network = (*Memory)(nil)

// NewMemory makes a network whose connections hold so many bytes in each direction;
// 0 means DefaultBufferBytes.
func NewMemory(bufferBytes int) *Memory {
	if bufferBytes == 0 {
		bufferBytes = DefaultBufferBytes
	}
	return &Memory{bufferBytes: bufferBytes, listeners: map[netip.AddrPort]*listener{}, nextPort: firstFreePort}
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

// DialContext implements network.Network. A connection is made at once, before it
// has been accepted.
func (m *Memory) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	remote := net.TCPAddrFromAddrPort(parsed)
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	m.mutex.Lock()
	target := m.listeners[parsed]
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(clientIP, m.freePort()))
	m.mutex.Unlock()
	dialled, accepted := newConnPair(local, remote, m.bufferBytes)
	if target == nil || !target.enqueue(accepted) {
		cause := os.NewSyscallError("connect", syscall.ECONNREFUSED)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: cause}
	}
	return dialled, nil
}

// freePort returns a port that no other call got lately. The mutex is held.
func (m *Memory) freePort() uint16 {
	port := m.nextPort
	m.nextPort++
	if m.nextPort == 0 {
		m.nextPort = firstFreePort
	}
	return port
}

// forget frees the address of a closed listener.
func (m *Memory) forget(address netip.AddrPort) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.listeners, address)
}
