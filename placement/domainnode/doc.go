// Package domainnode runs a controller of a placement domain: a member of the raft
// group over package domain, and, while it leads, the registry of the runners, the
// planner of loads and the source of the routers' views.
//
// # What is acknowledged
//
// A document and a departure are acknowledged once a quorum has synced them. A
// heartbeat is acknowledged by the leader only, and only while its lease holds. A
// departure is acknowledged once the routers that are in contact know of it as well,
// or after a bound.
//
// # Failure
//
// When the disk fails, the member closes its store and opens it again until the disk
// works; meanwhile it takes no part, and what waits is refused as unavailable. A
// member that finds that its group has removed it starts again with an empty store
// under a new identity.
package domainnode
