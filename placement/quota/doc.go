// Package quota divides the limits of tenants over routers. For each tenant the leader counts what
// it granted in the last window, in which the limit allows Rate times the window's length plus
// Burst. Routers request grants for waiting requests, and a reserve from which they admit the next
// requests without asking. What a router holds is a lease: it expires some time after the router's
// last query.
//
// Within its window a limit is paced: its rate is kept available for each coming second, and the
// rest may be used at once. Under contention, the classes of requests share the limit, and rejected
// callers get bookings for the time at which they retry.
//
// The bound holds across changes of the leader. Before a leader grants, it reserves the amount in
// the replicated log. The next leader counts everything reserved by its predecessors as granted, at
// the latest time at which it can have been. While leases of the former leader may be outstanding,
// it lends no more than routers still show to hold.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package quota
