// Package slotlease lends the slots of runners that must not be overfilled. A brittle runner falls over if it has to reject
// many requests, and only all routers together know how many it has. So the leader lends its slots to the routers that need
// them: a router claims slots for the requests that it has there and for those that wait, may begin requests within what it
// was granted for TTL from when it asked, and gives back what it does not use.
//
// What a router has in use is a fact that each claim tells again, and that counts for UseTTL. Nothing is logged: a new leader
// lends after GracePeriod, by which the permissions of its predecessor have ended and the routers have told what they use.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package slotlease
