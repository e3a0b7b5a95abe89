package simulate

import (
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// groupName names a raft group: the global group, or a zone's group by its zone.
type groupName string

const globalGroup groupName = "global"

// raftMessage carries a message between the nodes of a group.
type raftMessage struct {
	group   groupName
	message raft.Message
}

// joinRequest asks a group's leader to add a new identity of a machine.
type joinRequest struct {
	group    groupName
	identity raft.NodeID
}

// orderMessage carries a fenced order to an engine.
type orderMessage struct{ order structs.Order }

type orderAnswer struct {
	order structs.Order
	reply structs.OrderReply
}

// reportMessage carries an engine's report to a controller.
type reportMessage struct{ report structs.EngineReport }

// deltaRequest asks a member of the global group for the changes since a revision.
type deltaRequest struct {
	zone  structs.ZoneID
	since uint64
}

type deltaAnswer struct{ delta structs.TableDelta }

// zoneStatement carries a zone's releases, wishes and adopted revision to the global
// group.
type zoneStatement struct {
	zone     structs.ZoneID
	releases []structs.GrantRelease
	wishes   []structs.GrantWish
	inForce  uint64
}

// rowsRequest asks a member of the global group to read the table.
type rowsRequest struct{ number uint64 }

type rowsAnswer struct {
	number   uint64
	revision uint64
	rows     []structs.Row
}

type editRequest struct {
	number uint64
	edit   structs.Edit
}

// editAnswer carries the result of an edit, or the reason why there is none.
type editAnswer struct {
	number uint64
	result *structs.EditResult
	refuse *structs.Error
}

// copyRaftMessage copies what the sender's node may still modify, as encoding for
// the network would.
func copyRaftMessage(message raft.Message) raft.Message {
	message.Entries = slices.Clone(message.Entries)
	if message.Snapshot != nil {
		snapshot := copySnapshot(*message.Snapshot)
		message.Snapshot = &snapshot
	}
	return message
}

func copySnapshot(snapshot raft.Snapshot) raft.Snapshot {
	snapshot.Membership = copyMembership(snapshot.Membership)
	return snapshot
}

func copyMembership(membership raft.Membership) raft.Membership {
	return raft.Membership{
		Voters:   slices.Clone(membership.Voters),
		Learners: slices.Clone(membership.Learners),
	}
}
