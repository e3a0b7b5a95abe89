// Package ratelimit enforces request rates at individual runners over all routers. A runner may
// take few requests a second while it is cold after its start, or because it announces a rate limit
// in its answers. Hundreds of routers that each send a few requests a second cannot keep such a
// limit on their own, so they need a token from the leader for each request.
//
// A token is valid for TokenTTL from the time its router asked for it. At most rate × (1 s +
// TokenTTL) + Burst requests therefore arrive within a second, and a new leader only has to wait
// for TokenTTL before it grants tokens. Tokens are not logged, unlike grants of tenants' limits,
// because they are so short-lived.
//
// The package does no I/O and reads no clock: callers pass the time as an argument.
package ratelimit
