// Package logstore keeps the durable state of one raft group member: its term,
// vote, log and snapshot, in one bbolt file a group.
//
// Every record carries an xxhash checksum over its key and its msgpack payload,
// and a state record names the first and last log index, so that a changed, lost
// or misplaced record is found when the file is read. A file that fails a check
// is refused as a whole: a member that voted and forgot it could elect two
// leaders, so it must rejoin under a new identity instead of being mended.
//
// Save and Compact return only after a sync. After a failed write the store
// refuses all further writes, because what the disk holds is then unknown.
package logstore
