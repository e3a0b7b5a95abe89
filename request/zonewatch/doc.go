// Package zonewatch detects which zones of a site a router can reach.
//
// A zone may be partitioned as a whole: its runners then neither answer nor refuse, or all refuse
// connections. A router sees this in its own traffic long before a leader does, and a router
// in a lost zone reaches no leader at all. A failed connect, or silence of a zone with open
// requests, raises a suspicion, which is checked by probe connects to a few other runners of
// the zone. One answer refutes it, as a single runner may be dead; without any answer the zone
// is unreachable. An unreachable zone is retried by single connects, so that no request is
// spent on detecting its recovery.
//
// A Watch takes time and randomness as arguments, and the caller makes the connects. Nothing
// is safe for concurrent use.
package zonewatch
