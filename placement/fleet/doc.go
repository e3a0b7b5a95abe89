// Package fleet follows the runners that register themselves with the controllers:
// which there are, where, what they hold, and which of them are leaving or silent.
// The leader of the controllers keeps the Registry in memory, since every runner sends
// a heartbeat each second or few seconds; only departures and registrations are
// replicated. Routers keep a Directory of what the leader's Publisher tells them.
//
// The package is pure: time comes in as an argument.
package fleet
