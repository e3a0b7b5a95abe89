package logstore

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// BenchmarkOpen opens a store with 58,000 entries of 200 bytes.
func BenchmarkOpen(b *testing.B) {
	const count = 58_000
	c := qt.New(b)
	path := filepath.Join(b.TempDir(), "raft.db")
	store, err := Open(path, testIdentity)
	c.Assert(err, qt.IsNil)
	for first := uint64(1); first <= count; first += 1000 {
		entries := makeEntries(first, 1000, 1)
		for position := range entries {
			entries[position].Data = make([]byte, 200)
		}
		c.Assert(store.Save(&raft.HardState{Term: 1}, entries, nil), qt.IsNil)
	}
	c.Assert(store.Close(), qt.IsNil)
	for b.Loop() {
		store, err := Open(path, testIdentity)
		c.Assert(err, qt.IsNil)
		restored, err := store.Load()
		c.Assert(err, qt.IsNil)
		c.Assert(restored.Entries, qt.HasLen, count)
		c.Assert(store.Close(), qt.IsNil)
	}
}

// BenchmarkCompact stores a snapshot of 12 MB and removes 10,000 entries.
func BenchmarkCompact(b *testing.B) {
	const count = 10_000
	c := qt.New(b)
	store, err := Open(filepath.Join(b.TempDir(), "raft.db"), testIdentity)
	c.Assert(err, qt.IsNil)
	defer store.Close()
	data := make([]byte, 0, 12<<20)
	random := rand.New(rand.NewPCG(8, 1))
	for len(data) < 12<<20 {
		data = fmt.Appendf(data, "adapter-%06d weight=%d ", random.IntN(58_000), random.IntN(1000))
	}
	first := uint64(1)
	for b.Loop() {
		b.StopTimer()
		c.Assert(store.Save(&raft.HardState{Term: 1}, makeEntries(first, count, 1), nil), qt.IsNil)
		first += count
		b.StartTimer()
		c.Assert(store.Compact(raft.Snapshot{Index: first - 1, Term: 1, Data: data}), qt.IsNil)
	}
}

func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 64} {
		b.Run(fmt.Sprint("entries=", count), func(b *testing.B) {
			c := qt.New(b)
			store, err := Open(filepath.Join(b.TempDir(), "raft.db"), testIdentity)
			c.Assert(err, qt.IsNil)
			defer store.Close()
			next := uint64(1)
			for b.Loop() {
				c.Assert(store.Save(&raft.HardState{Term: 1}, makeEntries(next, count, 1), nil), qt.IsNil)
				next += uint64(count)
			}
		})
	}
}
