// Package raft implements the Raft consensus protocol as a deterministic state
// machine.
//
// A Node takes messages (Step), clock ticks (Tick) and proposals (Propose), and
// returns its effects as a Ready. It uses no goroutine, clock, socket, file or
// global random source; package group and the simulator drive the same code. A
// Node is not safe for concurrent use.
//
// # Elections
//
// A node requests pre-votes before it raises its term. A node that heard from a
// leader less than ElectionTicks ago ignores vote requests, unless the leader itself
// asked for the election (TransferLeadership). A restarted node counts as having
// just heard from a leader: it may have done so before the restart, and the leader's
// lease must hold across it.
//
// # Lease
//
// The lease (LeaseValid) starts at the tick at which the leader sent the heartbeat
// that a quorum answered. It ends before ElectionTicks by one tick, because ticks are
// not aligned, and by a tenth of ElectionTicks for clock drift. With a larger drift the
// lease may overlap with another leader's, but the log stays consistent. The same holds
// after a suspension of the process: its driver must deliver the missed ticks, by a
// monotonic clock, before it calls LeaseValid again.
//
// # Membership
//
// A membership is in effect from the moment its entry is appended and is rolled
// back when the entry is truncated. Consecutive memberships differ by at most one
// voter. A node listed in its own membership, as voter or learner, answers vote
// requests: a learner may have been promoted by an entry that it has not received
// yet, and the group must survive the loss of another voter at that moment. A node
// whose removal is not committed still votes and campaigns, because the removal may
// be truncated, or may not commit without the node. A node that is in no membership
// that can be in effect (a new or a removed identity) does neither. Only voters
// campaign.
//
// The first leader of a group appends the initial membership in place of its no-op,
// so every log holds a membership. The Membership of a Snapshot passed to Compact is
// that of MembershipAt.
//
// # Reads
//
// A read requested by ReadIndex completes after a quorum has answered a heartbeat
// sent after the request. Its index is never below the first entry of the leader's
// term, so the read waits until the leader has committed in its term. Reads pending
// when the node stops leading are dropped; the driver fails them when Status reports
// the change.
package raft
