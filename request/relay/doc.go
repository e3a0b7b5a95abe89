// Package relay implements the request router of a placement domain. It admits a request, selects a
// route and a runner, forwards the request, streams back the response, and retries on another
// runner where that is safe.
//
// A Router uses the latest view received from a leader of the controllers, keeps using it while no
// leader is reachable, and never reverts to an older document. A request that cannot be served
// before its deadline is rejected at once with a Retry-After. A caller is told that its request did
// not run only if a runner said so or the request was never sent.
package relay
