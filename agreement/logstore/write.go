package logstore

import (
	"fmt"

	"go.etcd.io/bbolt"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// Save makes a raft.Ready durable in one synced transaction; nil and empty
// arguments leave that part as it was. A snapshot replaces the whole log. Entries
// replace the stored suffix from their first index on. They must be contiguous and
// leave no gap, or the call changes nothing and returns ErrorInvalid. After any
// other error nothing may be relied on, and the store refuses further writes.
func (s *Store) Save(hardState *raft.HardState, entries []raft.Entry, snapshot *raft.Snapshot) error {
	if hardState == nil && len(entries) == 0 && snapshot == nil {
		return nil
	}
	return s.update(func(tx *bbolt.Tx, next *stateRecord) error {
		if snapshot != nil {
			if err := replaceLog(tx, next, *snapshot); err != nil {
				return err
			}
		}
		if err := appendEntries(tx, next, entries); err != nil {
			return err
		}
		if hardState != nil {
			next.Term = hardState.Term
			next.Vote = hardState.Vote
			next.Commit = max(hardState.Commit, next.First-1)
		}
		return nil
	}, snapshot)
}

// Compact stores a snapshot of the member's own state machine and removes the
// log up to the snapshot's index, in one synced transaction. The log must reach
// that index, and the snapshot must be newer than the stored one (ErrorInvalid).
func (s *Store) Compact(snapshot raft.Snapshot) error {
	return s.update(func(tx *bbolt.Tx, next *stateRecord) error {
		if snapshot.Index < next.First || snapshot.Index > next.Last {
			return invalidError(fmt.Sprintf("snapshot index %d is outside the log (%d to %d)",
				snapshot.Index, next.First, next.Last))
		}
		return cutLog(tx, next, snapshot)
	}, &snapshot)
}

// update runs one synced transaction. The state in memory changes only after the
// transaction is on disk.
func (s *Store) update(change func(*bbolt.Tx, *stateRecord) error, snapshot *raft.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if snapshot != nil && snapshot.Index < s.snapshotIndex {
		return invalidError(fmt.Sprintf("snapshot index %d is older than the stored %d", snapshot.Index, s.snapshotIndex))
	}
	next := s.state
	err := guarded(s.path, func() error {
		return s.db.Update(func(tx *bbolt.Tx) error {
			if err := change(tx, &next); err != nil {
				return err
			}
			return putRecord(tx.Bucket(stateBucket), stateKey, &next)
		})
	})
	switch structs.KindOf(err) {
	case "":
	case structs.ErrorInvalid:
		return err
	case structs.ErrorCorrupt:
		s.failed = err
		return err
	default:
		s.failed = writeError(s.path, err)
		return s.failed
	}
	s.state = next
	s.restored = nil
	if snapshot != nil {
		s.snapshotIndex = snapshot.Index
	}
	return nil
}

func appendEntries(tx *bbolt.Tx, next *stateRecord, entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first < next.First || first > next.Last+1 {
		return invalidError(fmt.Sprintf("entry %d does not join the log (%d to %d)", first, next.First, next.Last))
	}
	bucket := tx.Bucket(entriesBucket)
	bucket.FillPercent = entryFillPercent
	for offset, entry := range entries {
		if entry.Index != first+uint64(offset) {
			return invalidError(fmt.Sprintf("entry %d stands where %d is due", entry.Index, first+uint64(offset)))
		}
		key, value, err := encodeEntry(entry)
		if err != nil {
			return err
		}
		if err := bucket.Put(key, value); err != nil {
			return err
		}
	}
	last := entries[len(entries)-1].Index
	if err := deleteRange(bucket, last+1, next.Last); err != nil {
		return err
	}
	next.Last = last
	return nil
}

// replaceLog puts the snapshot in the place of the whole log.
func replaceLog(tx *bbolt.Tx, next *stateRecord, snapshot raft.Snapshot) error {
	if err := tx.DeleteBucket(entriesBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	next.First = snapshot.Index + 1
	next.Last = snapshot.Index
	next.Commit = max(next.Commit, snapshot.Index)
	return putSnapshot(tx.Bucket(stateBucket), snapshot)
}

// cutLog puts the snapshot in the place of the log up to its index.
func cutLog(tx *bbolt.Tx, next *stateRecord, snapshot raft.Snapshot) error {
	bucket := tx.Bucket(entriesBucket)
	key := indexKey(snapshot.Index)
	entry, err := decodeEntry(key, bucket.Get(key))
	if err != nil {
		return corruptError(tx.DB().Path(), fmt.Sprintf("entry %d: %v", snapshot.Index, err))
	}
	if entry.Term != snapshot.Term {
		return invalidError(fmt.Sprintf("snapshot of term %d does not match entry %d of term %d",
			snapshot.Term, entry.Index, entry.Term))
	}
	if err := deleteRange(bucket, next.First, snapshot.Index); err != nil {
		return err
	}
	next.First = snapshot.Index + 1
	next.Commit = max(next.Commit, snapshot.Index)
	return putSnapshot(tx.Bucket(stateBucket), snapshot)
}

func deleteRange(bucket *bbolt.Bucket, first, last uint64) error {
	for index := first; index <= last; index++ {
		if err := bucket.Delete(indexKey(index)); err != nil {
			return err
		}
	}
	return nil
}

func putRecord(bucket *bbolt.Bucket, key []byte, record any) error {
	value, err := encodeRecord(key, record)
	if err != nil {
		return err
	}
	return bucket.Put(key, value)
}

func putSnapshot(bucket *bbolt.Bucket, snapshot raft.Snapshot) error {
	value, err := encodeSnapshot(snapshotKey, snapshot)
	if err != nil {
		return err
	}
	return bucket.Put(snapshotKey, value)
}

func invalidError(problem string) error {
	return structs.NewError(structs.ErrorInvalid, problem, "Report this fault: the log must be written in index order.")
}
