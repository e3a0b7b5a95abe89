package daemon

import (
	"sync"

	"github.com/lotusferry/lotusferry/internal/transport"
)

// FaultService injects network faults into a daemon in development mode, in which alone
// it is registered.
type FaultService struct {
	faults *transport.Faults

	mutex sync.Mutex
	cut   map[string]bool
}

// FaultArguments lists the addresses to block. Addresses that are not listed are
// unblocked.
type FaultArguments struct {
	Cut []string
}

type FaultReply struct{}

// Set replaces the set of blocked addresses.
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
