package networktest

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/network"
)

// firstConnectRetry is the time after which an unanswered connect is repeated. It doubles with
// each repetition, as on Linux.
const firstConnectRetry = time.Second

// machine is the link of one IP address to the network.
type machine struct {
	mutex sync.Mutex
	isCut bool
	// partitions are the other machines from which this one is partitioned.
	partitions map[*machine]Partition
	// streams are the streams from and to the machine that are open.
	streams map[*stream]bool
}

// Cut disconnects the machine with an IP address, as if switched off: connects from and to it
// get no answer, and what is sent from and to it is held at the sender. A sender that closes its
// connection still delivers what is held once the machine is restored, unless it resets the
// connection (SetLinger(0) before Close).
func (m *Memory) Cut(ip netip.Addr) { m.machine(ip).set(true) }

// Restore ends Cut and delivers what senders hold.
func (m *Memory) Restore(ip netip.Addr) { m.machine(ip).set(false) }

// From returns the network as a machine with the given IP address uses it.
func (m *Memory) From(ip netip.Addr) network.Network { return source{m, ip} }

// source is the network as used by one machine.
type source struct {
	*Memory
	ip netip.Addr
}

// DialContext implements network.Network.
func (s source) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return s.dial(ctx, s.ip, address)
}

func (m *Memory) machine(ip netip.Addr) *machine {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.machines[ip]
	if found == nil {
		found = &machine{streams: make(map[*stream]bool), partitions: make(map[*machine]Partition)}
		m.machines[ip] = found
	}
	return found
}

func (m *machine) set(isCut bool) {
	m.mutex.Lock()
	m.isCut = isCut
	var open []*stream
	for each := range m.streams {
		open = append(open, each)
	}
	m.mutex.Unlock()
	for _, each := range open {
		each.wake()
	}
}

func (m *machine) cut() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isCut
}

func (m *machine) add(opened *stream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.streams[opened] = true
}

func (m *machine) remove(closed *stream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.streams, closed)
}

// awaitConnect waits until a connect between the machines is answered or ctx ends. A connect that
// is lost is sent again after firstConnectRetry, then after twice that, and so on.
func awaitConnect(ctx context.Context, ends []*machine) error {
	for retry := firstConnectRetry; isCutOff(ends); retry *= 2 {
		timer := time.NewTimer(retry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if ctx.Err() == context.DeadlineExceeded {
				return os.ErrDeadlineExceeded
			}
			return ctx.Err()
		}
	}
	return nil
}

// isCutOff reports whether what two machines send to each other is lost, as one of them is cut off or they are partitioned. What a machine sends to itself always
// arrives.
func isCutOff(ends []*machine) bool {
	if ends[0] == ends[1] {
		return false
	}
	for _, end := range ends {
		if end.cut() {
			return true
		}
	}
	return ends[0].partitionFrom(ends[1]) == PartitionDrops
}
