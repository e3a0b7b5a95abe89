// Package zone implements the replicated state machine of a zone group. It holds the
// zone's part of the table, the runners, the replicas with their memory
// reservations, and the claims on idempotency keys.
//
// Apply is deterministic: the same commands at the same indexes give the same state
// and results on every member. All limits are checked against the current state
// when a command is applied, so commands from outdated plans are safe.
//
// Order numbers are indexes of the zone log and never repeat. A command that changes
// a replica carries the replica's order number, so that stale commands are rejected.
package zone
