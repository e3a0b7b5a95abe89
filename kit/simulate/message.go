package simulate

import (
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// groupName names a raft group: the global group, or a zone's by the zone.
type groupName string

// globalGroup is the name of the global group.
const globalGroup groupName = "global"

// raftMessage carries one message of a group's nodes.
type raftMessage struct {
	group   groupName
	message raft.Message
}

// joinRequest asks a group's leader to take a new identity of a machine in.
type joinRequest struct {
	group    groupName
	identity raft.NodeID
}

// orderMessage carries a fenced order to an engine.
type orderMessage struct{ order structs.Order }

// orderAnswer is the engine's answer to an order.
type orderAnswer struct {
	order structs.Order
	reply structs.OrderReply
}

// reportMessage carries an engine's report to a controller.
type reportMessage struct{ report structs.EngineReport }

// deltaRequest asks a member of the global group for what changed since a revision.
type deltaRequest struct {
	zone  structs.ZoneID
	since uint64
}

// deltaAnswer carries the changes.
type deltaAnswer struct{ delta structs.TableDelta }

// zoneStatement carries what a zone tells the global group: releases, wishes and
// the adopted revision.
type zoneStatement struct {
	zone     structs.ZoneID
	releases []structs.GrantRelease
	wishes   []structs.GrantWish
	inForce  uint64
}

// rowsRequest asks a member of the global group for the table.
type rowsRequest struct{ number uint64 }

// rowsAnswer carries the table.
type rowsAnswer struct {
	number   uint64
	revision uint64
	rows     []structs.Row
}

// editRequest carries an operator's edit.
type editRequest struct {
	number uint64
	edit   structs.Edit
}

// editAnswer carries the result of an edit, or why there is none.
type editAnswer struct {
	number uint64
	result *structs.EditResult
	refuse *structs.Error
}

// copyRaftMessage copies what the sender's node might go on using, as encoding
// for the network would.
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
