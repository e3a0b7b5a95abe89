package logstore

import (
	"fmt"

	"go.etcd.io/bbolt"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// Save persists the parts of a raft.Ready in one synced transaction; nil or empty arguments
// leave their part unchanged. A snapshot replaces the whole log. Entries replace the stored
// entries from their first index on. If they are not contiguous, or leave a gap after the
// log, Save returns ErrorInvalid and changes nothing. After any other error the stored
// state is unknown, and the store rejects further writes.
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

// Compact stores a snapshot of the member's state machine and removes the log up to the
// snapshot's index, in one synced transaction. It returns ErrorInvalid if the index is not
// in the log or the snapshot is older than the stored one.
func (s *Store) Compact(snapshot raft.Snapshot) error {
	return s.update(func(tx *bbolt.Tx, next *stateRecord) error {
		if snapshot.Index < next.First || snapshot.Index > next.Last {
			return invalidError(fmt.Sprintf("snapshot index %d is outside the log (%d to %d)",
				snapshot.Index, next.First, next.Last))
		}
		return compactLog(tx, next, snapshot)
	}, &snapshot)
}

// update runs one synced transaction, and updates the state in memory after it is
// committed.
func (s *Store) update(change func(*bbolt.Tx, *stateRecord) error, snapshot *raft.Snapshot) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writeFailure != nil {
		return s.writeFailure
	}
	if snapshot != nil && snapshot.Index < s.snapshotIndex {
		return invalidError(fmt.Sprintf("snapshot index %d is older than the stored %d", snapshot.Index, s.snapshotIndex))
	}
	next := s.state
	err := recoverFaults(s.path, func() error {
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
		s.writeFailure = err
		return err
	default:
		s.writeFailure = writeError(s.path, err)
		return s.writeFailure
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
		return invalidError(fmt.Sprintf("entry %d is not contiguous with the log (%d to %d)", first, next.First, next.Last))
	}
	bucket := tx.Bucket(entriesBucket)
	bucket.FillPercent = entryFillPercent
	for offset, entry := range entries {
		if entry.Index != first+uint64(offset) {
			return invalidError(fmt.Sprintf("entry %d is out of order at index %d", entry.Index, first+uint64(offset)))
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

// replaceLog replaces the whole log with the snapshot.
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

// compactLog replaces the log up to the index of the snapshot with the snapshot.
func compactLog(tx *bbolt.Tx, next *stateRecord, snapshot raft.Snapshot) error {
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
	return structs.NewError(structs.ErrorInvalid, problem, "Report this bug: the log must be written in index order.")
}
