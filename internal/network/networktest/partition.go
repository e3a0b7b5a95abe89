package networktest

import (
	"net/netip"
	"os"
	"syscall"
	"time"
)

// Partition is how two groups of machines are partitioned from each other.
type Partition uint8

const (
	// PartitionDrops loses all packets: connects get no answer, and open connections are silent until
	// one of their ends gives up after silenceTimeout.
	PartitionDrops Partition = iota + 1
	// PartitionResets resets open connections and refuses new ones.
	PartitionResets
	// PartitionRefuses refuses new connections; open ones go on.
	PartitionRefuses
	// PartitionAccepts resets open connections, and new ones right after they were accepted, as a proxy on the way
	// does that has lost its target.
	PartitionAccepts
)

// silenceTimeout is how long a connection over a partition that drops packets stays open: what TCP
// keep-alive probes and TCP_USER_TIMEOUT of package network allow at most.
const silenceTimeout = 3 * time.Second

// Partition separates each machine of one group from each of the other.
func (m *Memory) Partition(some, others []netip.Addr, how Partition) {
	m.setPartition(some, others, how)
}

// Heal ends a Partition.
func (m *Memory) Heal(some, others []netip.Addr) { m.setPartition(some, others, 0) }

func (m *Memory) setPartition(some, others []netip.Addr, how Partition) {
	for _, ip := range some {
		for _, other := range others {
			m.machine(ip).separate(m.machine(other), how)
		}
	}
}

// separate applies a partition between two machines; 0 ends it.
func (m *machine) separate(other *machine, how Partition) {
	m.mutex.Lock()
	m.partitions[other] = how
	m.mutex.Unlock()
	other.mutex.Lock()
	other.partitions[m] = how
	other.mutex.Unlock()
	between := m.streamsTo(other)
	for _, each := range between {
		if how == PartitionResets || how == PartitionAccepts {
			each.reset()
		}
		each.wake()
	}
	if how == PartitionDrops {
		time.AfterFunc(silenceTimeout, func() {
			for _, each := range between {
				each.timeOut()
			}
		})
	}
}

// streamsTo returns the open streams between two machines.
func (m *machine) streamsTo(other *machine) []*stream {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var between []*stream
	for each := range m.streams {
		if each.ends[0] == other || each.ends[1] == other {
			between = append(between, each)
		}
	}
	return between
}

// partitionFrom returns how the machine is partitioned from another; 0 if it is not.
func (m *machine) partitionFrom(other *machine) Partition {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partitions[other]
}

// refusesConnects reports whether a connect between two machines is refused.
func refusesConnects(ends []*machine) bool {
	how := ends[0].partitionFrom(ends[1])
	return how == PartitionResets || how == PartitionRefuses
}

// timeOut ends a stream whose packets are still lost.
func (s *stream) timeOut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !isCutOff(s.ends) {
		return
	}
	s.hasTimedOut = true
	s.cond.Broadcast()
}

// errTimedOut is what reading from and writing to a stream returns after timeOut.
func errTimedOut(operation string) error { return os.NewSyscallError(operation, syscall.ETIMEDOUT) }
