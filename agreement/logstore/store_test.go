package logstore

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

var testIdentity = Identity{Group: "zone/sala-a", Daemon: "control-1", Node: 7}

func openStore(c *qt.C, path string) *Store {
	store, err := Open(path, testIdentity)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = store.Close() })
	return store
}

// crashCopy copies the file without closing the store, as after a crash.
func crashCopy(c *qt.C, path string) string {
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return writeFile(c, content)
}

func writeFile(c *qt.C, content []byte) string {
	path := filepath.Join(c.TempDir(), "copy.db")
	c.Assert(os.WriteFile(path, content, fileMode), qt.IsNil)
	return path
}

func loadCopy(c *qt.C, path string) (raft.Restored, error) {
	store, err := Open(path, testIdentity)
	if err != nil {
		return raft.Restored{}, err
	}
	restored, err := store.Load()
	c.Assert(store.Close(), qt.IsNil)
	return restored, err
}

func makeEntries(first uint64, count int, term uint64) []raft.Entry {
	var entries []raft.Entry
	for offset := range uint64(count) {
		entries = append(entries, raft.Entry{
			Term: term, Index: first + offset, Kind: raft.EntryCommand,
			Data: fmt.Appendf(nil, "command %d of term %d", first+offset, term),
		})
	}
	return entries
}

// model is the state that a store is expected to return.
type model struct{ raft.Restored }

func (m *model) last() uint64 { return m.Snapshot.Index + uint64(len(m.Entries)) }

// mutate applies one random write to the store and to the model.
func (m *model) mutate(store *Store, random *rand.Rand) error {
	switch random.IntN(8) {
	case 0:
		m.HardState.Term++
		m.HardState.Vote = raft.NodeID(random.IntN(3))
		return store.Save(&m.HardState, nil, nil)
	case 1:
		if len(m.Entries) == 0 {
			return nil
		}
		position := random.IntN(len(m.Entries))
		entry := m.Entries[position]
		m.Snapshot = raft.Snapshot{
			Index: entry.Index, Term: entry.Term,
			Membership: raft.Membership{Voters: []raft.NodeID{1, 2, 7}, Learners: []raft.NodeID{9}},
			Data:       fmt.Appendf(nil, "state at %d", entry.Index),
		}
		m.Entries = m.Entries[position+1:]
		m.HardState.Commit = max(m.HardState.Commit, entry.Index)
		return store.Compact(m.Snapshot)
	case 2:
		m.HardState.Term++
		m.Snapshot = raft.Snapshot{Index: m.last() + 10, Term: m.HardState.Term, Data: []byte("installed")}
		m.HardState.Commit = m.Snapshot.Index
		m.Entries = makeEntries(m.last()+1-uint64(len(m.Entries)), 2, m.HardState.Term)
		return store.Save(&m.HardState, m.Entries, &m.Snapshot)
	default:
		m.HardState.Term++
		kept := random.IntN(len(m.Entries) + 1)
		kept = max(kept, int(m.HardState.Commit-min(m.HardState.Commit, m.Snapshot.Index)))
		added := makeEntries(m.Snapshot.Index+uint64(kept)+1, 1+random.IntN(40), m.HardState.Term)
		m.Entries = append(append([]raft.Entry(nil), m.Entries[:kept]...), added...)
		return store.Save(&m.HardState, added, nil)
	}
}

func (m *model) check(c *qt.C, restored raft.Restored) {
	c.Assert(restored.HardState, qt.Equals, m.HardState)
	c.Assert(restored.Entries, qt.HasLen, len(m.Entries))
	for position, entry := range restored.Entries {
		c.Assert(entry, qt.DeepEquals, m.Entries[position])
	}
	c.Assert(restored.Snapshot.Index, qt.Equals, m.Snapshot.Index)
	c.Assert(restored.Snapshot.Term, qt.Equals, m.Snapshot.Term)
	c.Assert(restored.Snapshot.Membership, qt.DeepEquals, m.Snapshot.Membership)
	c.Assert(string(restored.Snapshot.Data), qt.Equals, string(m.Snapshot.Data))
}

func TestCrashPreservesSyncedState(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			path := filepath.Join(c.TempDir(), "folder", "raft.db")
			store := openStore(c, path)
			var expected model
			for range 40 {
				c.Assert(expected.mutate(store, random), qt.IsNil)
				restored, err := loadCopy(c, crashCopy(c, path))
				c.Assert(err, qt.IsNil)
				expected.check(c, restored)
			}
			restored, err := store.Load()
			c.Assert(err, qt.IsNil)
			expected.check(c, restored)
		})
	}
}

// A crash before the meta page is written may leave any subset of the other pages
// written. The previous state must be read back.
func TestCrashDuringWriteKeepsPreviousState(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	random := rand.New(rand.NewPCG(5, 1))
	path := filepath.Join(c.TempDir(), "raft.db")
	store := openStore(c, path)
	var expected model
	pageSize := os.Getpagesize()
	for range 40 {
		before, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		previous := expected
		c.Assert(expected.mutate(store, random), qt.IsNil)
		after, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		torn := append([]byte(nil), after...)
		copy(torn, before)
		for start := 2 * pageSize; start < len(after); start += pageSize {
			if random.IntN(2) == 0 {
				copy(torn[start:start+pageSize], after[start:])
			}
		}
		restored, err := loadCopy(c, writeFile(c, torn))
		c.Assert(err, qt.IsNil)
		previous.check(c, restored)
	}
}

// populatedFile returns the content of a file with all kinds of records, and its model.
func populatedFile(c *qt.C) ([]byte, model) {
	path := filepath.Join(c.TempDir(), "raft.db")
	store := openStore(c, path)
	random := rand.New(rand.NewPCG(6, 1))
	var expected model
	for range 30 {
		c.Assert(expected.mutate(store, random), qt.IsNil)
	}
	expected.Entries = append(expected.Entries, makeEntries(expected.last()+1, 300, expected.HardState.Term)...)
	c.Assert(store.Save(nil, expected.Entries, nil), qt.IsNil)
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	return content, expected
}

// A changed byte must be detected unless it is in an unused part of the file.
func TestChangedBytesAreDetected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	content, expected := populatedFile(c)
	random := rand.New(rand.NewPCG(7, 1))
	var positions []int
	for page := range 2 {
		for offset := pageHeaderBytes; offset < pageHeaderBytes+metaBytes; offset++ {
			positions = append(positions, page*os.Getpagesize()+offset)
		}
	}
	metaPositions := len(positions)
	for range 200 {
		positions = append(positions, random.IntN(len(content)))
	}
	// Page headers are small, so random positions rarely hit them.
	for page := 2; page < len(content)/os.Getpagesize(); page++ {
		positions = append(positions, page*os.Getpagesize()+random.IntN(64))
	}
	found := 0
	for number, position := range positions {
		damaged := append([]byte(nil), content...)
		damaged[position] ^= byte(1 + random.IntN(255))
		restored, err := loadCopy(c, writeFile(c, damaged))
		if err == nil {
			c.Assert(number >= metaPositions, qt.IsTrue, qt.Commentf("meta byte %d", position))
			expected.check(c, restored)
			continue
		}
		found++
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorCorrupt, qt.Commentf("byte %d: %v", position, err))
		c.Assert(err, qt.ErrorMatches, ".*rejoin under a new identity.*")
	}
	c.Assert(found > metaPositions, qt.IsTrue)
}

func TestTruncatedFileIsRejected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	content, _ := populatedFile(c)
	for _, length := range []int{0, 1, 100, os.Getpagesize(), 3 * os.Getpagesize(), len(content) / 2} {
		_, err := loadCopy(c, writeFile(c, content[:length]))
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorCorrupt, qt.Commentf("length %d: %v", length, err))
	}
}

func TestFileOfOtherIdentityIsRejected(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "raft.db")
	c.Assert(openStore(c, path).Close(), qt.IsNil)
	for _, other := range []Identity{
		{Group: "global", Daemon: "control-1", Node: 7},
		{Group: "zone/sala-a", Daemon: "control-2", Node: 7},
		{Group: "zone/sala-a", Daemon: "control-1", Node: 8},
	} {
		_, err := Open(path, other)
		c.Check(structs.KindOf(err), qt.Equals, structs.ErrorConflict)
		c.Check(err, qt.ErrorMatches, ".*Give the daemon its own data folder.*")
	}
	openStore(c, path)
	_, err := Open(path, testIdentity)
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
}

func TestFailedWriteBlocksLaterWrites(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "raft.db")
	store := openStore(c, path)
	saved := makeEntries(1, 3, 1)
	c.Assert(store.Save(&raft.HardState{Term: 1}, saved, nil), qt.IsNil)
	store.db.MaxSize = 1 // simulates a full disk
	large := raft.Entry{Term: 1, Index: 4, Data: make([]byte, 1<<20)}
	err := store.Save(nil, []raft.Entry{large}, nil)
	c.Assert(err, qt.ErrorMatches, ".*Check the disk for free space.*")
	store.db.MaxSize = 0
	c.Assert(store.Save(nil, makeEntries(4, 1, 1), nil), qt.Equals, err)
	c.Assert(store.Compact(raft.Snapshot{Index: 1, Term: 1}), qt.Equals, err)
	restored, err := loadCopy(c, crashCopy(c, path))
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Entries, qt.DeepEquals, saved)
}

func TestInvalidWritesChangeNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	store := openStore(c, filepath.Join(c.TempDir(), "raft.db"))
	c.Assert(store.Save(&raft.HardState{Term: 2}, makeEntries(1, 5, 2), nil), qt.IsNil)
	c.Assert(store.Compact(raft.Snapshot{Index: 2, Term: 2}), qt.IsNil)
	for name, write := range map[string]func() error{
		"gap before":       func() error { return store.Save(nil, makeEntries(7, 1, 2), nil) },
		"below snapshot":   func() error { return store.Save(nil, makeEntries(2, 5, 2), nil) },
		"gap within":       func() error { return store.Save(nil, append(makeEntries(4, 1, 3), makeEntries(6, 1, 3)...), nil) },
		"older snapshot":   func() error { return store.Save(nil, nil, &raft.Snapshot{Index: 1}) },
		"compact past end": func() error { return store.Compact(raft.Snapshot{Index: 6, Term: 2}) },
		"compact term":     func() error { return store.Compact(raft.Snapshot{Index: 4, Term: 1}) },
	} {
		c.Check(structs.KindOf(write()), qt.Equals, structs.ErrorInvalid, qt.Commentf(name))
	}
	restored, err := store.Load()
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Entries, qt.DeepEquals, makeEntries(3, 3, 2))
	c.Assert(store.Save(nil, makeEntries(6, 1, 2), nil), qt.IsNil)
}

func TestSnapshotFileRoundTripAndCorruption(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "backup")
	written := raft.Snapshot{
		Index: 9, Term: 3, Data: []byte("the state"),
		Membership: raft.Membership{Voters: []raft.NodeID{1, 2}, Learners: []raft.NodeID{3}},
	}
	c.Assert(WriteSnapshotFile(path, written, testIdentity), qt.IsNil)
	snapshot, identity, err := ReadSnapshotFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot, qt.DeepEquals, written)
	c.Assert(identity, qt.Equals, testIdentity)
	content, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for position := range content {
		damaged := append([]byte(nil), content...)
		damaged[position] ^= 1
		_, _, err := ReadSnapshotFile(writeFile(c, damaged))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorCorrupt, qt.Commentf("byte %d", position))
		_, _, err = ReadSnapshotFile(writeFile(c, content[:position]))
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorCorrupt, qt.Commentf("length %d", position))
	}
	c.Assert(WriteSnapshotFile(filepath.Join(path, "no folder"), written, testIdentity), qt.IsNotNil)
}

// FuzzDecodeRecord checks that decoding does not panic on any input, and that decoded
// entries survive another round trip.
func FuzzDecodeRecord(f *testing.F) {
	key, value, err := encodeEntry(makeEntries(3, 1, 2)[0])
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := encodeSnapshot(snapshotKey, raft.Snapshot{Index: 4, Data: []byte("data")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(key, value[checksumBytes:])
	f.Add(snapshotKey, snapshot[checksumBytes:])
	f.Add([]byte{}, []byte{0x94, 0xc0})
	f.Fuzz(func(t *testing.T, key, payload []byte) {
		c := qt.New(t)
		_, err := decodeEntry(key, payload)
		c.Assert(err, qt.IsNotNil) // no valid checksum
		// With a valid checksum the payload reaches the decoder.
		value := append(make([]byte, checksumBytes), payload...)
		sum := checksum(key, payload)
		for position := range checksumBytes {
			value[position] = byte(sum >> (56 - 8*position))
		}
		if entry, err := decodeEntry(key, value); err == nil {
			encodedKey, encoded, err := encodeEntry(entry)
			c.Assert(err, qt.IsNil)
			again, err := decodeEntry(encodedKey, encoded)
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.DeepEquals, entry)
		}
		if len(payload) < 1<<12 {
			_, _ = decodeSnapshot(key, value)
		}
		_, _, _ = decodeSnapshotFile(append(append([]byte(nil), snapshotFileMagic...), value...))
	})
}
