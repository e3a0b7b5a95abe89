// Package fleet follows the runners that register themselves with the controllers:
// which there are, where, what they hold, and which of them are leaving or silent.
// The leader of the controllers keeps the Registry in memory, since every runner
// sends a heartbeat about once a second; only departures are replicated.
//
// The package is pure: time comes in as an argument.
package fleet
