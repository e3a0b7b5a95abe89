package networktest

import (
	"net"
	"net/netip"
	"sync"
)

// listener takes the connections to one address.
type listener struct {
	memory  *Memory
	address netip.AddrPort

	mutex   sync.Mutex
	changed *sync.Cond
	waiting []*conn
	closed  bool
}

func newListener(memory *Memory, address netip.AddrPort) *listener {
	l := &listener{memory: memory, address: address}
	l.changed = sync.NewCond(&l.mutex)
	return l
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// enqueue leaves a connection to be accepted; false when the listener is closed.
func (l *listener) enqueue(accepted *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return false
	}
	l.waiting = append(l.waiting, accepted)
	l.changed.Signal()
	return true
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.waiting) == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, l.closedError("accept")
	}
	accepted := l.waiting[0]
	l.waiting = l.waiting[1:]
	return accepted, nil
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	waiting, err := l.close()
	if err != nil {
		return err
	}
	l.memory.forget(l.address)
	for _, unaccepted := range waiting {
		unaccepted.reset()
	}
	return nil
}

func (l *listener) close() ([]*conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return nil, l.closedError("close")
	}
	l.closed = true
	l.changed.Broadcast()
	return l.waiting, nil
}

func (l *listener) closedError(operation string) error {
	return &net.OpError{Op: operation, Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
}
