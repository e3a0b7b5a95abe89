// Package mirror holds a relay's copy of what the leading controller publishes, and decides
// what routers that watch the relay get from it and when the leader must be told of them.
//
// The leader decides what is published; a mirror passes it on at the leader's term and
// revisions. It answers a router only while the leader has answered a question of the last
// domainapi.MirrorTTL, and only once the leader counts the router as active, so that the
// leader acknowledges no departure that such a router does not know.
//
// The package does no I/O and reads no clock: callers pass the time as an argument. See
// docs/design/relay.md.
package mirror
