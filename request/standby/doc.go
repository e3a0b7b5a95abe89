// Package standby decides which streams are copied to a second runner while they run, and what may
// follow after their runner is lost. A standby is the runner that receives the copy of a stream's
// memory; a continuation is the request that goes on from that copy.
//
// The package is pure: it has no clock, goroutine, network or random source. Times are arguments. See
// docs/design/standby.md.
package standby
