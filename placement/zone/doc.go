// Package zone is the replicated state machine of one zone's group. It holds the
// adopted part of the table, the runners, the replicas with their memory
// reservations, and the claims on idempotency keys.
//
// Apply is deterministic and pure: the same commands at the same indexes give
// the same state and the same results on every member. Every limit is checked
// here, against the current state, however old the plan was that led to a
// command.
//
// Order numbers are indexes of the zone log, so they never repeat; a command
// about a replica names the order it is about, so that a late one is refused.
package zone
