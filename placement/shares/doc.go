// Package shares sums the work done for each tenant over all routers and finds the tenants
// that use more than their share. A single router sees too few requests of a tenant to tell,
// since one request may amount to a minute of the tenant's use there.
//
// A tenant's share is its weight over the weights of all active tenants. The weight is the
// rate of its limit, which is what it was promised; tenants without a limit have the mean
// weight of those with one.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package shares
