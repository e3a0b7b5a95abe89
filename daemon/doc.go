// Package daemon assembles one lotusferry process: a router for callers, a controller
// that is a member of its zone's group and possibly of the global group, and the
// operator API. Decisions are made by the deterministic packages router, controller,
// zone and table; this package feeds them events from the network, the disk and the
// clock, and executes their effects.
package daemon
