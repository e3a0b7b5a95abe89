package group

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	serviceName = "Raft"
	stepMethod  = serviceName + ".Step"
)

// StepArguments is a batch of messages from one member to another.
type StepArguments struct {
	Group string
	From  raft.NodeID
	To    raft.NodeID
	// Sent is the sender's monotonic clock, in nanoseconds, when it sent the batch.
	Sent int64
	// Echo is the newest Sent of a batch in which the sender of this one accepted
	// its receiver as leader of EchoTerm.
	Echo     int64
	EchoTerm uint64
	// Address is the sender's own. A node that joins needs it to answer before it
	// has the log; it is left out of batches that only keep a leadership up, unless
	// the receiver is silent.
	Address  string
	Messages []raft.Message
}

// StepReply is empty: answers travel as messages of their own.
type StepReply struct{}

// raftService is the net/rpc service that hands batches to the groups of a server.
type raftService struct {
	mutex  sync.Mutex
	groups map[string]*Group
}

func sharedService(server *transport.Server) (*raftService, error) {
	receiver, err := server.Shared(serviceName, func() any {
		return &raftService{groups: make(map[string]*Group)}
	})
	if err != nil {
		return nil, err
	}
	service, ok := receiver.(*raftService)
	if !ok {
		return nil, errors.Errorf("service %s is registered by another package", serviceName)
	}
	return service, nil
}

// Step takes a batch. It never waits: a batch that its group cannot take now is
// dropped, like one that the network lost.
func (s *raftService) Step(arguments *StepArguments, _ *StepReply) error {
	s.mutex.Lock()
	target := s.groups[arguments.Group]
	s.mutex.Unlock()
	// A node of an earlier incarnation may have had this address.
	if target == nil || target.options.Node != arguments.To {
		return nil
	}
	select {
	case target.incoming <- *arguments:
	default:
	}
	return nil
}

func (s *raftService) add(g *Group) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.groups[g.options.Name] != nil {
		return structs.NewError(structs.ErrorInvalid,
			"group "+g.options.Name+" runs twice on one server", "Give each group its own name.")
	}
	s.groups[g.options.Name] = g
	return nil
}

func (s *raftService) remove(g *Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.groups, g.options.Name)
}
