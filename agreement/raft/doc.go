// Package raft is the consensus protocol of lotusferry as a pure state machine.
//
// A Node takes messages (Step), ticks of its own clock (Tick) and proposals
// (Propose), and hands out its effects as a Ready. It has no goroutine, clock,
// socket, file or global random source: the shell in package group feeds it, and
// so does the simulator, with the same code. A Node is not safe for concurrent use.
//
// # Elections
//
// A node asks for pre-votes before it raises its term. A node that heard from a
// leader less than ElectionTicks ago ignores requests for votes, unless the leader
// itself asked for the election (TransferLeadership). A node that restarts counts
// as having just heard from a leader, because it may have done so before the
// restart; without this the leader's lease would not hold over a restart.
//
// # Lease
//
// LeaseValid counts from the tick at which the leader sent the heartbeat that a
// quorum answered, and ends before ElectionTicks by a margin of one tick for the
// unaligned clocks and a tenth for clocks of unequal rate. Clocks whose rates
// differ by more than about a tenth break the lease, not the log. The same holds
// for a process that was stopped: its shell must deliver the ticks it missed, by a
// monotonic clock, before it asks LeaseValid again.
//
// # Membership
//
// A membership is in force from the moment its entry is appended and is undone
// when the entry is truncated. Consecutive memberships differ by one voter at
// most. A node that is in its own membership, as voter or learner, answers
// requests for votes: a learner may have been promoted by an entry that it has not
// received yet, and the group must survive the loss of another voter just then. A
// node whose removal is not committed goes on voting and campaigning, because the
// removal may be undone, or may need the node to come into force. A node that is in
// no membership that can be in force (a new identity, or a removed one) does
// neither. Only voters campaign.
//
// The first leader of a group appends the founding membership in place of its noop,
// so every log holds a membership. The Membership of a Snapshot given to Compact is
// the one of MembershipAt.
//
// # Reads
//
// A read asked for by ReadIndex is answered after a quorum answered a heartbeat
// sent after it. Its index is never below the first entry of the leader's term,
// so that the read waits until the leader has committed in its term. Reads that
// are pending when the node stops leading are dropped; the shell fails them when
// Status says so.
package raft
