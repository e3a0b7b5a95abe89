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
	// Sent is the sender's monotonic clock reading at sending, in nanoseconds.
	Sent int64
	// Echo is the newest Sent of a batch by which the sender accepted the receiver as
	// leader of EchoTerm.
	Echo     int64
	EchoTerm uint64
	// Address is the sender's own address, with which a joining node can reply before it
	// has the log. It is omitted from batches without appends or snapshots, unless the
	// receiver is silent.
	Address  string
	Messages []raft.Message
}

// StepReply is empty, because replies are sent as separate messages.
type StepReply struct{}

// raftService is the net/rpc service that dispatches batches to the groups of a server.
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

// Step queues a batch for its group. It never blocks: the batch is dropped if the queue
// is full.
func (s *raftService) Step(arguments *StepArguments, _ *StepReply) error {
	s.mutex.Lock()
	target := s.groups[arguments.Group]
	s.mutex.Unlock()
	// The batch may be addressed to an earlier node at this address.
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
			"group "+g.options.Name+" is already running on this server", "Use a unique name for each group.")
	}
	s.groups[g.options.Name] = g
	return nil
}

func (s *raftService) remove(g *Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.groups, g.options.Name)
}
