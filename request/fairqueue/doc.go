// Package fairqueue orders requests that wait for room: by rank, then between tenants by the work
// that was done for each, and within a tenant by slack.
//
// Ranks are strict, as sites ask of them: whoever has the more urgent rank goes first. The rank of
// a tenant takes the place of that of the route, so that the routes of such a tenant differ by
// their slack alone.
//
// Between tenants of a rank there is virtual time, as in start-time fair queueing: each tenant
// has a clock that goes on by the work let in for it over its weight, in tokens, corrected at the
// end by what was used. The tenant whose clock is furthest behind goes first. While two tenants
// both have requests that can be served, the work done for each over its weight differs by no more
// than the largest request of each over its weight. A tenant that asked for nothing for a
// while has no claim to that time, and one that was served much when nobody else wanted to is
// held back for at most maxAhead of work.
//
// The leader adds up all routers, and its word on who is above its share goes before the clocks while
// it is fresh: tenants that are not go first, and among them slack alone decides.
//
// Within a tenant a request that is late soon goes first; then those that are late already, in
// the order in which they came; then those that can wait and still be in time. So one with six
// seconds of patience lets one with 0.4 s pass, but only until it is within dueMargin of being
// late itself: from then on only those pass that are late sooner.
//
// The package is pure: time comes in as an argument. What is decided allocates nothing.
package fairqueue
