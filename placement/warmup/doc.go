// Package warmup paces the requests that cold runners get. For some seconds after its start, and at times
// without one, a runner bears a few requests a second only and falls over at well above that. Hundreds of routers
// that each see a few requests a second can't keep to that alone, so a cold runner gets only requests for which
// its router holds a token of the leader.
//
// A token is good for TokenLife from when its router asked. So no more requests than Rate times a second and
// TokenLife, and Burst more, arrive within a second; and a new leader only has to wait for TokenLife before it
// lends, without knowing what the one before lent. Nothing of it is in the log, as what is lent for parts
// of tenants' limits is: these are lent for seconds, and their windows are longer still.
//
// The package is pure: time comes in as an argument.
package warmup
