// Package table is the state machine of the global group: the operators' rows,
// their history, the zones, and the grants that split each row's replica limit
// over the zones.
//
// A State is pure and deterministic: it has no goroutine, clock, file or random
// source, and equal commands in equal order give equal states and equal snapshot
// bytes on every member. It is not safe for concurrent use; methods that only
// read may run at the same time as each other.
//
// The cost of a command depends on the rows it touches. Only a ZoneCommand that
// changes the zones touches every row.
//
// # Revisions
//
// Every command that changes a row or a grant raises the table revision by
// exactly one; all rows and grants that it changes carry that revision. A grant's
// Sequence is the table revision of its last change, so it never repeats, not
// even for a row that was deleted and made again.
//
// # Grants
//
// The limit of a row is split by the zones' wishes first and by the zones'
// weights for what is left over. A split is kept until there is a need to move
// it: see split.go. Held grows only while its sum stays within MaxReplicas, and
// shrinks only by a release, or by an operator who vouches that a removed zone's
// runners are off.
//
// When a limit is lowered below what is held, the row's grants are frozen: no zone
// may begin a load, because what is left over may still be loaded elsewhere. Each
// zone releases down to its new limit, or to what it has loaded if that is less;
// once no more is held than the limit, the grants thaw and what was given up is
// granted again. So a zone that is cut off with replicas left over keeps the rest
// from loading no longer than until the others have released what they lack.
package table
