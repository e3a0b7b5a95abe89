package daemon

import (
	"sync"

	"github.com/lotusferry/lotusferry/internal/transport"
)

// FaultService is the fault point of a daemon in development mode: the rehearsal
// kit cuts this daemon off from others through it. It is not served otherwise.
type FaultService struct {
	faults *transport.Faults

	mutex sync.Mutex
	cut   map[string]bool
}

// FaultArguments lists the addresses that this daemon must not reach from now
// on; all others are reached again.
type FaultArguments struct {
	Cut []string
}

// FaultReply is empty.
type FaultReply struct{}

// Set replaces the set of addresses that are cut off.
func (s *FaultService) Set(arguments FaultArguments, _ *FaultReply) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wanted := make(map[string]bool, len(arguments.Cut))
	for _, address := range arguments.Cut {
		wanted[address] = true
		s.faults.Cut(address)
	}
	for address := range s.cut {
		if !wanted[address] {
			s.faults.Heal(address)
		}
	}
	s.cut = wanted
	return nil
}
