// Package answerstore keeps the answers to requests with idempotency keys on the
// router that made them: in a file of its data folder (File), or in memory on a
// router without a disk (Memory). Both are bounded in bytes and in the life of an
// answer; the answer that was kept first makes way.
//
// An answer that is lost is never a reason to run its request again: the zone
// group remembers that it ran.
package answerstore
