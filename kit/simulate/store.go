package simulate

import (
	"slices"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

// batch is the durable part of one Ready. It is written atomically as one record,
// like a transaction of the daemon's log store.
type batch struct {
	identity  raft.NodeID
	hardState raft.HardState
	snapshot  *raft.Snapshot
	entries   []raft.Entry
}

// store holds the durable state of one group member on a machine's disk.
type store struct {
	disk *Disk
	file string

	identity  raft.NodeID
	hardState raft.HardState
	snapshot  raft.Snapshot
	entries   []raft.Entry
}

// openStore reads the durable state; found is false on an empty disk.
func openStore(disk *Disk, file string) (opened *store, found bool) {
	opened = &store{disk: disk, file: file}
	records := disk.Read(file)
	for _, record := range records {
		opened.add(record.Value.(batch))
	}
	return opened, len(records) > 0
}

// write appends a batch, which the disk's next Sync makes durable.
func (s *store) write(added batch) error {
	added.identity = s.identity
	if err := s.disk.Write(Record{File: s.file, Value: added}); err != nil {
		return err
	}
	s.add(added)
	return nil
}

// compact replaces all records by one that starts with the snapshot.
func (s *store) compact(snapshot raft.Snapshot) error {
	compacted := batch{identity: s.identity, hardState: s.hardState, snapshot: &snapshot, entries: s.after(snapshot.Index)}
	if err := s.disk.Write(Record{File: s.file, Replaces: true, Value: compacted}); err != nil {
		return err
	}
	s.snapshot = snapshot
	s.entries = compacted.entries
	return nil
}

func (s *store) add(added batch) {
	s.identity = added.identity
	s.hardState = added.hardState
	if added.snapshot != nil {
		if !s.holds(added.snapshot.Index, added.snapshot.Term) {
			s.entries = nil
		}
		s.snapshot = *added.snapshot
		s.entries = s.after(added.snapshot.Index)
	}
	if len(added.entries) == 0 {
		return
	}
	first := added.entries[0].Index
	kept := slices.DeleteFunc(slices.Clone(s.entries), func(entry raft.Entry) bool { return entry.Index >= first })
	s.entries = append(kept, added.entries...)
}

func (s *store) holds(index, term uint64) bool {
	return slices.ContainsFunc(s.entries, func(entry raft.Entry) bool {
		return entry.Index == index && entry.Term == term
	})
}

// after returns the entries after the index.
func (s *store) after(index uint64) []raft.Entry {
	return slices.DeleteFunc(slices.Clone(s.entries), func(entry raft.Entry) bool { return entry.Index <= index })
}
