// Package domainnode implements a controller of a placement domain: a member of the raft
// group that replicates package domain. The leader also tracks the runners, plans model
// loads and serves views to the routers.
//
// # Acknowledgements
//
// A document or departure is acknowledged once a quorum has synced it to disk. A departure
// is acknowledged only after the active routers have received it or a timeout has passed.
// A heartbeat is acknowledged by the leader while its lease holds.
//
// # Failures
//
// On a disk failure the member closes its store and reopens it until that succeeds.
// Meanwhile it does not participate, and waiting calls fail as unavailable. A member
// removed from the group rejoins with an empty store and a new identity.
package domainnode
