package daemon

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// proposeTimeout bounds a proposal made for a remote caller, below the
// transport's call timeout.
const proposeTimeout = 4 * time.Second

// GlobalService is the net/rpc service of a member of the global group. Its
// errors travel in the replies, because net/rpc carries only strings.
type GlobalService struct {
	node *globalNode
}

// Propose runs a command through the log. Only the leader takes it. The time of
// an edit is set here, by the leader's clock.
func (s *GlobalService) Propose(arguments ProposeArguments, reply *GlobalReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	command, err := table.DecodeCommand(arguments.Command)
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	if command.Edit != nil {
		command.Edit.At = time.Now().UTC()
	}
	result, err := s.node.propose(ctx, command)
	reply.Result = result
	reply.Error = structs.AsTyped(err)
	return nil
}

// Delta returns the table's changes for a zone. Any member answers: a member
// that is behind only answers later changes later.
func (s *GlobalService) Delta(arguments DeltaArguments, reply *DeltaReply) error {
	s.node.await(arguments.Since, arguments.Wait, func() {
		reply.Delta = s.node.machine.state.Delta(arguments.Zone, arguments.Since)
	})
	return nil
}

// Table returns the table, or its changes, at a revision above Since, or after Wait.
// With no Wait it is a linearizable read, which only the leader serves.
func (s *GlobalService) Table(arguments TableArguments, reply *TableReply) error {
	if arguments.Wait == 0 {
		if reply.Error = s.barrier(); reply.Error != nil {
			return nil
		}
	}
	s.node.await(arguments.Since, arguments.Wait, func() {
		state := s.node.machine.state
		reply.Revision, reply.Full = state.Revision(), true
		if arguments.Changes && reply.Revision <= arguments.Since {
			reply.Full = false
			return
		}
		if arguments.Changes {
			delta := state.Changes(arguments.Since)
			reply.Rows, reply.Deleted, reply.Full = delta.Rows, delta.Deleted, delta.Full
			return
		}
		reply.Rows = state.Rows()
	})
	return nil
}

// Check is a dry run of an edit against the newest table.
func (s *GlobalService) Check(arguments CheckArguments, reply *CheckReply) error {
	if reply.Error = s.barrier(); reply.Error != nil {
		return nil
	}
	s.node.group.View(func() { reply.Result = s.node.machine.state.Check(arguments.Edit) })
	return nil
}

// History lists the newest accepted edits.
func (s *GlobalService) History(arguments HistoryArguments, reply *HistoryReply) error {
	if reply.Error = s.barrier(); reply.Error != nil {
		return nil
	}
	s.node.group.View(func() { reply.Entries = s.node.machine.state.History(arguments.Limit) })
	return nil
}

// Status tells the revision and what each zone has in force.
func (s *GlobalService) Status(_ StatusArguments, reply *GlobalStatusReply) error {
	if reply.Error = s.barrier(); reply.Error != nil {
		return nil
	}
	reply.Leader = leadingDaemon(s.node.group.Status())
	s.node.group.View(func() {
		reply.Revision = s.node.machine.state.Revision()
		reply.Zones = s.node.machine.state.Zones()
	})
	return nil
}

// barrier waits until this member, as leader, has applied all that was committed
// when the call came in.
func (s *GlobalService) barrier() *structs.Error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return structs.AsTyped(s.node.group.Read(ctx))
}

// await runs read once the revision is above since, or after wait.
func (n *globalNode) await(since uint64, wait time.Duration, read func()) {
	ctx, cancel := context.WithTimeout(context.Background(), min(wait, maxWait))
	defer cancel()
	for {
		changed := n.machine.changed.wait()
		done := ctx.Err() != nil
		n.group.View(func() {
			if done || n.machine.state.Revision() > since {
				done = true
				read()
			}
		})
		if done {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}
