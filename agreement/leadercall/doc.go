// Package leadercall calls the leader of a Raft group from any process.
//
// A call asks the known leader first and then searches for the leader in rounds, since many
// callers lose a leader at the same moment and must not keep the next one from starting:
//
//   - Callers of a large group ask its members in random order, and a round ends with the first
//     member that knows no other leader than the one already asked.
//   - A round starts only after a backoff with jitter since the previous one. All calls of a
//     Caller share it, also those that start later.
//   - As soon as a call has found the leader, the waiting ones go on.
package leadercall
