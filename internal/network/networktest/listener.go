package networktest

import (
	"net"
	"net/netip"
	"sync"
)

// listener accepts the connections to one address.
type listener struct {
	memory  *Memory
	address netip.AddrPort

	mutex   sync.Mutex
	cond    *sync.Cond
	pending []*conn
	closed  bool
}

func newListener(memory *Memory, address netip.AddrPort) *listener {
	l := &listener{memory: memory, address: address}
	l.cond = sync.NewCond(&l.mutex)
	return l
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// enqueue queues a connection for Accept. It returns false if the listener is closed.
func (l *listener) enqueue(accepted *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return false
	}
	l.pending = append(l.pending, accepted)
	l.cond.Signal()
	return true
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, l.closedError("accept")
	}
	accepted := l.pending[0]
	l.pending = l.pending[1:]
	return accepted, nil
}

// Close implements net.Listener. Connections that were not accepted are reset.
func (l *listener) Close() error {
	waiting, err := l.close()
	if err != nil {
		return err
	}
	l.memory.removeListener(l.address)
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
	l.cond.Broadcast()
	return l.pending, nil
}

func (l *listener) closedError(operation string) error {
	return &net.OpError{Op: operation, Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
}
