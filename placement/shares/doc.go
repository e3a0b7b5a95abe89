// Package shares adds up what is done for each tenant over all routers, and tells who has more
// than its share. A router sees a few requests of a tenant, of which one may be worth a minute of
// what the tenant uses there: only the sum tells who takes from others.
//
// A tenant's share of the work is its weight over the weights of all tenants that ask for
// something. Its weight is the rate of its limit, which is what it was promised; tenants without
// one have the mean of those that have.
//
// The package is pure: time comes in as an argument.
package shares
