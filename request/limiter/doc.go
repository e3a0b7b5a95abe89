// Package limiter admits requests of tenants at one router, by the parts of their limits that
// the router holds. What it holds it drew from the leader (package quota); what is not held
// has to be asked for, and the requests wait until the leader has answered.
//
// The package is pure: time comes in as an argument, and calls are the caller's to make.
package limiter
