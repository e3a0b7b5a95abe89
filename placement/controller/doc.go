// Package controller makes the decisions of a zone's leader: which commands to
// propose to the zone log, and which orders to send to the engines.
//
// Orders are derived from applied replica records, never from a plan, so a leader
// that crashes at any point leaves nothing that its successor cannot send again. An
// engine report counts as the outcome of an order only if the report's fence shows
// that the engine had accepted that order.
//
// The package does no I/O and reads no clock: the time and all other inputs are in Input.
package controller
