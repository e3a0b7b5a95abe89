// Package fairqueue orders waiting requests: by rank, then between tenants by the work done
// for each, and within a tenant by slack.
//
// Ranks are strict priorities. The rank of a tenant replaces that of the route, so that the
// routes of such a tenant differ only by slack.
//
// Tenants of the same rank are ordered by virtual time, as in start-time fair queueing: each
// tenant has a clock that advances by its admitted work in tokens over its weight, corrected
// by the actual use at the end. The tenant with the lowest clock goes first. While two tenants
// both have requests that can be served, their work over weight differs by at most the sum of
// the largest request of each over its weight. An idle tenant accumulates no credit, and a
// tenant served without competition is held back by at most maxClockLead.
//
// The leader adds up the work at all routers. While its report on the tenants above their share
// is recent, it takes precedence over the clocks: tenants within their share go first, ordered
// by slack alone.
//
// Within a tenant, requests that are due within dueMargin go first, then overdue ones in the
// order of their due times, then all others. So a request with a long objective lets more
// urgent ones pass until it is within dueMargin itself; from then on only those with earlier
// due times pass.
//
// Time is passed as an argument. Decisions do not allocate.
package fairqueue
