// Package answerstore stores the answers to requests with idempotency keys on the
// router that served them, in a file of its data folder (File) or, on a router without
// a disk, in memory (Memory). Both limit the total size and the lifetime of answers,
// and evict the oldest answer first.
//
// The loss of an answer does not cause its request to run again, because the zone
// group records that it ran.
package answerstore
