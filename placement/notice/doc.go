// Package notice has what runners say of themselves in their answers: at which rate they take requests, for how long
// they want none, and that they are leaving.
//
// A rate limit is that of all routers together, and the leader lends it out: see package ratelimit. A rest binds the
// router alone that was turned away. That a runner is leaving is true for all routers. Of the last two a Book keeps
// what one router was told, by the life of the runner: a view that does not list a runner for a while, or lists it
// anew, takes nothing back.
//
// The package is pure: time comes in as an argument.
package notice
