// Package tunnel carries connections to runners through a peer router, for a router that does not reach them
// itself.
//
// A tunnel is an HTTP CONNECT: the peer connects to a runner that it knows, answers 200 and then copies bytes both
// ways, so that the router speaks with the runner as over a connection of its own. There is one hop: a peer connects to
// runners directly. The end of either side ends the other in the same way, so that an answer that was cut short
// never looks complete, also if the runner resets its connection while it is sent a request. A peer also streams its Status to the routers that use it.
package tunnel
