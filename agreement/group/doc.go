// Package group runs one member of a Raft group: it drives a raft.Node with ticks,
// messages and proposals, persists its log in a logstore.Store, exchanges messages over
// net/rpc and applies committed commands to a StateMachine.
//
// One goroutine owns the node. Each iteration takes all pending messages, proposals and
// reads, persists them with one sync, then sends, applies and replies, so that proposals
// that arrive during a sync share the next one. Each peer has a bounded message queue;
// messages are dropped when it is full, so that a stalled peer does not block the
// leader. Raft retransmits them.
//
// # Lease
//
// A leader's lease is checked by ticks (raft) and by the monotonic clock: every batch of
// messages carries its sender's clock reading, which the receiver echoes once it has
// accepted the sender as leader. The lease starts at the newest reading that a quorum
// echoed. After a pause of the process the lease has expired before any message is read.
//
// # Failure
//
// When storage fails, Run returns the error. Peers and callers have been sent only
// results that were synced.
package group
