// Package clock provides a clock that advances while the machine is suspended.
//
// The monotonic clock of the operating system, which package time uses for differences, stops
// during a suspension, and the wall clock jumps. After a suspension, a lease measured by the
// monotonic clock would seem valid although it has expired for other processes. Leases, grants,
// reservations and deadlines between processes must therefore use this clock. Timers use the
// monotonic clock and fire late after a suspension, so code that must not be late also checks Now.
package clock
