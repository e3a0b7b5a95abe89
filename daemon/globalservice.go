package daemon

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// proposeTimeout bounds a proposal on behalf of a remote caller. It is shorter than the
// transport's call timeout.
const proposeTimeout = 4 * time.Second

// GlobalService is the net/rpc service of a member of the global group. Errors are
// returned in the replies, because net/rpc transmits errors only as strings.
type GlobalService struct {
	node *globalNode
}

// Propose commits a command through the log; only the leader accepts it. The leader's
// clock sets the time of an edit.
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

// Delta returns the table's changes for a zone. Any member replies; one that lags
// returns later changes later.
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

// Check validates an edit against the current table without applying it.
func (s *GlobalService) Check(arguments CheckArguments, reply *CheckReply) error {
	if reply.Error = s.barrier(); reply.Error != nil {
		return nil
	}
	s.node.group.View(func() { reply.Result = s.node.machine.state.Check(arguments.Edit) })
	return nil
}

// History returns the most recent accepted edits.
func (s *GlobalService) History(arguments HistoryArguments, reply *HistoryReply) error {
	if reply.Error = s.barrier(); reply.Error != nil {
		return nil
	}
	s.node.group.View(func() { reply.Entries = s.node.machine.state.History(arguments.Limit) })
	return nil
}

// Status returns the table revision and the revision in force in each zone.
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

// barrier waits until this member, as leader, has applied everything committed before
// the call.
func (s *GlobalService) barrier() *structs.Error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return structs.AsTyped(s.node.group.Read(ctx))
}

// await calls read once the revision is above since, or after wait.
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
