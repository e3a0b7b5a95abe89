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

// The layout of a bbolt meta page: a page header, then the meta record whose last
// eight bytes are its FNV-1a checksum.
const (
	pageHeaderBytes   = 16
	metaChecksumStart = 56
	metaBytes         = 64
	metaPageSizeStart = 8
	metaHighPageStart = 40
)

// contents is everything a file holds.
type contents struct {
	state    stateRecord
	restored raft.Restored
}

// checkMetaPages refuses a file with a damaged meta page or a lost tail. bbolt
// itself would fall back to the older of its two meta pages and so silently
// forget the last synced transaction, which may hold a vote. A crash does not
// damage a meta page, because it lies within one disk sector.
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
			return corruptError(path, "the page size is not this machine's")
		}
		if int64(binary.NativeEndian.Uint64(meta[metaHighPageStart:]))*pageSize > info.Size() {
			return corruptError(path, "the file is shorter than its pages")
		}
	}
	return nil
}

// checkPages has bbolt compare its page tree with its list of free pages: a page
// that is in both would be overwritten by a later transaction.
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

// checkIdentity returns the identity that the file names. A wanted node of 0
// stands for any.
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

// readAll reads and checks every record.
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
		return contents{}, corruptError(path, "the snapshot does not reach the log")
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

// readEntries reads the log, which must hold exactly the indexes that the state
// record names, under terms that never fall.
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
			return nil, errors.Errorf("entry %d of term %d stands where %d is due", entry.Index, entry.Term, next)
		}
		entries = append(entries, entry)
		term = entry.Term
		next++
	}
	if next != state.Last+1 {
		return nil, errors.Errorf("the log ends before %d instead of after %d", next, state.Last)
	}
	return entries, nil
}
