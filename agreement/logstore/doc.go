// Package logstore stores the durable state of a Raft group member (term, vote, log and
// snapshot) in one bbolt file per group.
//
// Every record has an xxhash checksum over its key and its msgpack payload, and a state
// record holds the first and last log index, so that a modified, lost or misplaced record
// is detected when the file is read. A file that fails a check is rejected as a whole: a
// member that lost a vote could help to elect two leaders, so it must rejoin under a new
// identity instead of being repaired.
//
// Save and Compact return only after a sync. After a failed write the store rejects all
// further writes, because the contents of the disk are then unknown.
package logstore
