// Package controller makes the decisions of a zone's leader: which commands to
// put into the zone log, and which orders to send to the engines.
//
// Orders are derived from the replica records that were applied, never from a
// plan, so a leader that dies at any point leaves nothing that its successor
// cannot send again. What an engine reports counts as the outcome of an order
// only when the report's fence shows that the engine had accepted that order.
//
// The package is pure: time and everything else come in through Input.
package controller
