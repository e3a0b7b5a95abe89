// Package table implements the state machine of the global group: the operators'
// rows, their history, the zones, and the grants that split each row's replica limit
// over the zones.
//
// A State is deterministic: it uses no goroutine, clock, file or random source, and
// equal commands in equal order give equal states and equal snapshot bytes on every
// member. It is not safe for concurrent use, except that read-only methods may run
// concurrently with each other.
//
// The cost of a command depends on the rows it changes. Only a ZoneCommand that
// changes the zones affects every row.
//
// # Revisions
//
// Every command that changes a row or a grant raises the table revision by
// exactly one; all rows and grants that it changes carry that revision. A grant's
// Sequence is the table revision of its last change, so it never repeats, even if
// the row is deleted and created again.
//
// # Grants
//
// The limit of a row is split by the zones' wishes first and the remainder by the
// zones' weights. Limits move between zones only if necessary: see split.go. The sum
// of Held grows only within MaxReplicas, and shrinks only by a release or if an
// operator confirms that a removed zone's runners are off.
//
// If a limit is lowered below the sum of Held, the row's grants are frozen: no zone
// may start a load, because surplus replicas may still be loaded in other zones. Each
// zone releases down to its new limit, or to its loaded replicas if they are fewer.
// Once the sum of Held is within the limit, the grants are unfrozen and the released
// replicas are granted again. A disconnected zone with surplus replicas thus blocks
// loads only until the other zones have released the replicas they have not loaded.
package table
