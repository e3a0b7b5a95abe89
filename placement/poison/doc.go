// Package poison detects requests that crash the runners executing them, and decides whether they
// may be executed again.
//
// Routers report the requests that were in flight at a runner when its connections broke. A Tracker
// at the controllers' leader combines these reports. Most requests in flight are harmless: they
// shared the runner with the crashing request, were retried together with it, or were at runners
// lost for other reasons. A request that was in flight at enough losses is therefore not refused
// but tried: it may run at one runner at a time, without other suspects there. If it succeeds it is
// cleared. If its runner is lost again, it is refused for some time.
//
// A loss is discarded if the runner had announced that it leaves, or if its heartbeats continue.
package poison
