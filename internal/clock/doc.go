// Package clock reads a clock that goes on while the machine is suspended.
//
// The steady clock of the operating system, which package time takes differences by, stands still
// while a machine is suspended, and the time of day jumps. A lease that is held against the steady clock
// seems to last after a suspension although others have seen it end. Whatever one process grants
// another for a time is held against this clock: leases, confirmations, grants, reserves and
// deadlines. Timers still run by the steady clock: after a suspension they go off late, so that what must
// not come late is compared with Now besides.
package clock
