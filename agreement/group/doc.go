// Package group runs one raft group: it feeds a raft.Node with ticks, messages and
// proposals, makes its log durable through a logstore.Store, exchanges messages
// over net/rpc and applies committed commands to a StateMachine.
//
// One goroutine owns the node. Each pass takes everything that waits (messages,
// proposals, reads), makes it durable with one sync, sends, applies, and answers:
// proposals that arrive during a sync share the next one. Messages to each peer go
// through a bounded queue of their own, and are dropped when it is full, so that a
// stalled peer never holds up the leader; raft sends again.
//
// # Lease
//
// A leader's lease is checked by ticks (raft) and by the monotonic clock: every
// batch of messages carries its sender's clock reading, which the receiver echoes
// once it has accepted the sender as leader. The lease counts from the newest
// reading that a quorum echoed. A process that was paused finds its lease over when
// it wakes, before it has read a single message.
//
// # Failure
//
// When storage fails, Run returns the error and nothing that was not synced has
// been promised to a peer or a caller.
package group
