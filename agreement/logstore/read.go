package logstore

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"os"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// Layout of a bbolt meta page: a page header, followed by the meta record, whose last
// eight bytes are its FNV-1a checksum. Offsets are relative to the meta record.
const (
	pageHeaderBytes   = 16
	metaChecksumStart = 56
	metaBytes         = 64
	metaPageSizeStart = 8
	metaHighPageStart = 40
)

// contents is the decoded content of a file.
type contents struct {
	state    stateRecord
	restored raft.Restored
}

// checkMetaPages rejects a file with a damaged meta page or a truncated tail. bbolt itself
// would fall back to the older of its two meta pages and silently lose the last synced
// transaction, which may contain a vote. A crash does not damage a meta page, because the
// meta record fits into one disk sector.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrapf(err, "open %s", path)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return errors.Wrapf(err, "stat %s", path)
	}
	pageSize := int64(os.Getpagesize())
	for number := range int64(2) {
		meta := make([]byte, metaBytes)
		if _, err := file.ReadAt(meta, number*pageSize+pageHeaderBytes); err != nil {
			if errors.Is(err, io.EOF) {
				return corruptError(path, "a meta page is missing")
			}
			return errors.Wrapf(err, "read %s", path)
		}
		digest := fnv.New64a()
		_, _ = digest.Write(meta[:metaChecksumStart])
		if digest.Sum64() != binary.NativeEndian.Uint64(meta[metaChecksumStart:]) {
			return corruptError(path, fmt.Sprintf("the checksum of meta page %d does not match", number))
		}
		if int64(binary.NativeEndian.Uint32(meta[metaPageSizeStart:])) != pageSize {
			return corruptError(path, "the page size differs from that of this machine")
		}
		if int64(binary.NativeEndian.Uint64(meta[metaHighPageStart:]))*pageSize > info.Size() {
			return corruptError(path, "the file is truncated")
		}
	}
	return nil
}

// checkPages runs the consistency check of bbolt, which detects pages that are both in use
// and free and would be overwritten by a later transaction.
func checkPages(tx *bbolt.Tx, path string) error {
	var first error
	for problem := range tx.Check() {
		if first == nil {
			first = problem
		}
	}
	if first != nil {
		return corruptError(path, first.Error())
	}
	return nil
}

// checkIdentity returns the identity stored in the file, and an ErrorConflict if it is not
// the wanted one. A wanted node of 0 matches any node.
func checkIdentity(tx *bbolt.Tx, path string, wanted Identity) (Identity, error) {
	var found Identity
	if err := readRecord(tx, identityKey, &found); err != nil {
		return found, corruptError(path, "identity: "+err.Error())
	}
	if wanted.Node == raft.None {
		wanted.Node = found.Node
	}
	if found == wanted {
		return found, nil
	}
	return found, structs.NewError(structs.ErrorConflict,
		fmt.Sprintf("%s belongs to group %q, daemon %q, node %d, not to group %q, daemon %q, node %d",
			path, found.Group, found.Daemon, found.Node, wanted.Group, wanted.Daemon, wanted.Node),
		"Give the daemon its own data folder, or correct its name in the settings file.")
}

func readRecord(tx *bbolt.Tx, key []byte, record any) error {
	bucket := tx.Bucket(stateBucket)
	if bucket == nil {
		return errors.New("the bucket is missing")
	}
	value := bucket.Get(key)
	if value == nil {
		return errors.New("the record is missing")
	}
	return decodeRecord(key, value, record)
}

// readAll reads and validates all records.
func readAll(tx *bbolt.Tx, path string) (contents, error) {
	var result contents
	if err := readRecord(tx, stateKey, &result.state); err != nil {
		return contents{}, corruptError(path, "state: "+err.Error())
	}
	snapshot, err := decodeSnapshot(snapshotKey, tx.Bucket(stateBucket).Get(snapshotKey))
	if err != nil {
		return contents{}, corruptError(path, "snapshot: "+err.Error())
	}
	entries, err := readEntries(tx, result.state)
	if err != nil {
		return contents{}, corruptError(path, "log: "+err.Error())
	}
	if snapshot.Index+1 != result.state.First {
		return contents{}, corruptError(path, "the snapshot and the log are not contiguous")
	}
	if result.state.Commit > result.state.Last {
		return contents{}, corruptError(path, "committed entries are missing")
	}
	result.restored = raft.Restored{
		HardState: raft.HardState{Term: result.state.Term, Vote: result.state.Vote, Commit: result.state.Commit},
		Snapshot:  snapshot,
		Entries:   entries,
	}
	return result, nil
}

// readEntries reads the log. It must contain exactly the indexes of the state record, and
// terms must not decrease.
func readEntries(tx *bbolt.Tx, state stateRecord) ([]raft.Entry, error) {
	bucket := tx.Bucket(entriesBucket)
	if bucket == nil {
		return nil, errors.New("the bucket is missing")
	}
	var entries []raft.Entry
	next := state.First
	term := uint64(0)
	cursor := bucket.Cursor()
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		entry, err := decodeEntry(key, value)
		if err != nil {
			return nil, errors.Wrapf(err, "entry %d", next)
		}
		if entry.Index != next || entry.Term < term {
			return nil, errors.Errorf("entry %d of term %d is out of order at index %d", entry.Index, entry.Term, next)
		}
		entries = append(entries, entry)
		term = entry.Term
		next++
	}
	if next != state.Last+1 {
		return nil, errors.Errorf("the log ends before index %d instead of after index %d", next, state.Last)
	}
	return entries, nil
}
