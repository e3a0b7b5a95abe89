// Package versions keeps streams at the software version that began them. Runners of several software versions may serve
// one service side by side, and what two versions write does not fit together.
//
// A Tracker tells which services have runners of several versions. A Register holds the versions that began streams, at
// the controllers. An Outbox holds those that a router began, and tells which of them are to be sent to which
// registrars, so that any router can look a stream up after the one that began it is gone. Decide decides how a
// stream goes on that a client takes up.
//
// The package does no I/O and reads no clock: callers pass the time as an argument. Its types are not safe for concurrent
// use.
package versions
