// Package fleet tracks the registered runners: their addresses and models, and which of them are
// leaving or silent. The controllers' leader keeps the Registry in memory, since runners send
// heartbeats every second or few seconds; only registrations and departures are replicated. Routers
// keep a Directory, which they update from the views of the leader's Publisher.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package fleet
