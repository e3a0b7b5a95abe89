// Package router implements the lifecycle of a request as a pure state machine:
// claim, admission, selection of a replica, attempts, resumption, retries, and
// exactly one terminal effect.
//
// A Core uses no goroutine, clock, socket or global random source. The driver, which
// is the daemon or a test, turns occurrences into Events, passes them to Step with the
// time, and applies the returned Effects in order. It must serialize its calls.
//
// # Terminal effects
//
// Every Arrived leads to exactly one of Finish, Replay, Reject or Forward, unless
// the caller disconnected, or another zone accepted the request after an Offer. A
// Forward that could not be delivered is reported as ForwardFailed and ends in a
// Reject; a failed Offer is reported as OfferFailed, and the request is queued here.
//
// # Requests with an idempotency key
//
// The home zone of the key alone decides about it, wherever the request is executed.
// The router claims the key there first, names the chosen engine in the claim before
// it sends the request, and sends it again only if the engine certainly did not run
// it. A FinishClaim effect ahead of the Finish contains the complete answer, which the
// driver stores; the claim records only its AnswerMark. A repeated request fetches the
// answer from the router that executed the original (FetchAnswer). The claim of a
// request that certainly did not run is released with structs.ClaimReleased.
package router
