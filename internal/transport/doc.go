// Package transport implements net/rpc calls between daemons over TCP with mutual TLS,
// or without TLS for development on the loopback interface.
//
// A Client keeps one connection per peer. After a failure it redials with jittered
// exponential backoff, during which calls fail immediately. Peers are independent: a
// slow, stopped or half-open peer delays only its own calls, at most by their timeout.
// Messages are gob values of bounded size.
//
// net/rpc transfers errors as strings only, so services return typed errors in their
// replies (see structs.Error).
package transport
