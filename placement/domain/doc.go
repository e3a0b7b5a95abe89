// Package domain implements the replicated state of a placement domain: the current
// site document, runner registrations and departures, reservations of tenants' limits,
// suspected requests and drained zones. The controllers of all zones form one raft
// group, so the state survives the loss of a zone's disk.
//
// The state machine is deterministic: Apply depends only on the commands.
package domain
