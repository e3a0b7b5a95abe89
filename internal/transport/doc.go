// Package transport carries net/rpc calls between daemons over TCP, with mutual
// TLS or, for development on the loopback interface, in the clear.
//
// A Client keeps one connection a peer and dials it again after a failure with a
// jittered, growing pause, during which calls fail at once. Peers share nothing:
// one that is slow, stopped or half open delays only the calls made to it, and
// those no longer than their timeout. Messages are gob values of bounded size.
//
// Typed errors do not survive net/rpc, which carries only strings; services put
// them into their replies (see structs.Error).
package transport
