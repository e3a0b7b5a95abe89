// Package relay runs a router of a placement domain: it takes callers' requests,
// finds the route and a runner for each, passes the request on and its answer back,
// and tries again elsewhere where that is safe.
//
// A Router works by the newest view that a leader of the controllers gave it, also
// while no leader can be reached, and never goes back to an older document. It gives
// up on a request at once when it cannot be served in time, and says when to come
// back. It tells a caller that a request did not run only if a runner said so or the
// request was never sent.
package relay
