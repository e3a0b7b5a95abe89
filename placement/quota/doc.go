// Package quota divides the limits of tenants over routers. Each limit is one token bucket, kept
// by the leader; routers draw from it, for requests that wait and for a reserve from which they
// admit the next requests by themselves. What a router holds is a lease: it ends some time after
// the router last asked.
//
// The bound holds without anything that outlives a leader. A new leader begins with empty
// buckets, so that what all leaders together hand out in a time is what one would have; and
// as long as leases of the former one may be out, it lends no more than routers still show.
//
// The package is pure: time comes in as an argument.
package quota
