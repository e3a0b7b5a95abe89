// Package ratelimit knows the rate limits that runners in need name in their answers: how many requests a second
// a runner takes from all routers together, for as long as its answers say so.
//
// The package is pure: time comes in as an argument.
package ratelimit
