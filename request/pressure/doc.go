// Package pressure tells whether a router's machine bears the work that it has.
//
// A machine that is too small, or that others use, shows it in the process itself: its timers go off
// late, whether its own work, a quota of processor time or a neighbour is the cause, and every request
// is late by as much. That does not say how many connections are too many, so a router under pressure
// lets go of a few at a time and looks again.
//
// A Gauge is pure: time comes in as an argument. It is not safe for concurrent use.
package pressure
