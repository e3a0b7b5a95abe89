// Package quota divides the limits of tenants over routers. For each tenant the leader counts
// what it granted in the last window, in which the limit allows Rate times the window and the
// Burst. Routers draw grants for requests that wait, and a reserve from which they admit the
// next requests by themselves. What a router holds is a lease: it ends some time after the
// router last asked.
//
// Within its window a limit is paced: it keeps its rate for each second to come, and lets the rest be
// used at once. While there is too little, kinds of requests take turns, and callers that are refused
// are promised room at a time at which they come back.
//
// The bound holds over changes of leaders. Before a leader grants, it reserves: what it may
// grant in the next moments is in the replicated log. The next leader counts all that its
// predecessors reserved as granted, at the latest time at which it can have been, and lends no more
// reserves than routers still show as long as leases of the former leader may be out.
//
// The package is pure: time comes in as an argument.
package quota
