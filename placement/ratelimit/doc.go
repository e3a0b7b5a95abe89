// Package ratelimit keeps the requests to runners that bear few a second within what these bear, over all routers.
// For some seconds after its start, and at times without one, a runner is cold: it falls over at well above what its
// service says that it bears. Others name a rate limit in their answers for as long as they are in need.
// Hundreds of routers that each see a few requests a second can't keep to that alone, so such a runner gets only
// requests for which its router holds a token of the leader.
//
// A token is good for TokenLife from when its router asked. So no more requests than the rate times a second and
// TokenLife, and Burst more, arrive within a second; and a new leader only has to wait for TokenLife before it
// lends, without knowing what the one before lent. Nothing of it is in the log, as what is lent for parts
// of tenants' limits is: these are lent for seconds, and their windows are longer still.
//
// The package is pure: time comes in as an argument.
package ratelimit
