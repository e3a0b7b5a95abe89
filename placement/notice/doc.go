// Package notice defines what runners announce in their answers: a rate limit, a cooldown during
// which they want no requests, and that they are leaving.
//
// A rate limit applies to all routers together, and the leader grants its tokens: see package
// ratelimit. A cooldown applies only to the router whose request was rejected, leaving to all
// routers. A Tracker keeps these two by incarnation of the runner, independent of whether views list
// it.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package notice
