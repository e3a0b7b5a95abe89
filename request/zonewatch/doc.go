// Package zonewatch learns which zones of a site a router can reach.
//
// A zone may be cut off as a whole: its runners then neither answer nor refuse, or all refuse
// connections. A router sees that from its own traffic long before a leader does, and a router
// within the lost zone hears of no leader at all. A failed connect, or open requests of a zone
// from which nothing at all is heard, raise a suspicion. It is settled by connects to a few
// other runners of the zone: one that is answered refutes it, as a single runner may be dead,
// and if none is answered the zone is out of reach. Such a zone is tried again by single
// connects, so that no request has to find out that it is back.
//
// A Watch is pure: time and randomness come in as arguments, the caller makes the connects,
// and nothing is safe for concurrent use.
package zonewatch
