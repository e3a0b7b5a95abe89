// Package router is the life of a request as a pure state machine: claim,
// admission, choice of a replica, attempts, resumption, retries, and exactly one
// terminal effect.
//
// A Core has no goroutine, clock, socket or global random source. Its shell
// turns what happens into Events, calls Step with the time, and carries out the
// Effects in their order. Calls are serialised by the shell.
//
// # Terminal effects
//
// Every Arrived leads to exactly one of Finish, Replay, Refuse or Forward, unless
// the caller went away, or another zone took it after an Offer. A Forward that the
// shell could not deliver comes back as ForwardFailed and ends in a Refuse; a failed
// Offer comes back as OfferFailed, and the request waits here.
//
// # Requests with an idempotency key
//
// The key's home zone alone decides about it, wherever the request is executed. In
// it the router claims the key before anything else, names the chosen engine in the
// claim before it sends the request, and sends it again only if the engine certainly
// did not run it. The whole answer is in a FinishClaim effect ahead of the Finish; the
// shell keeps it, and the claim has only its mark. A resend fetches the answer from the
// router that executed the request (FetchAnswer). A claim whose request certainly did
// not run is released with structs.ClaimReleased.
package router
