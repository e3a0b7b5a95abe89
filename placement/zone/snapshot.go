package zone

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// snapshotMagic is the prefix of every snapshot. It identifies the format version.
var snapshotMagic = []byte("LFZ1")

const (
	snapshotChecksumBytes = 8
	// maxSnapshotBytes is the maximum size of a decompressed snapshot.
	maxSnapshotBytes = 1 << 30
)

// snapshotData is the encoded form of a State.
type snapshotData struct {
	Zone           structs.ZoneID
	Index          uint64
	PlacementIndex uint64
	Table          structs.TableDelta
	// TableFloor and TableChanges let a restarted member send deltas to readers.
	TableFloor   uint64
	TableChanges []snapshotChange
	// Staged holds the parts of a table delta that is not complete yet.
	Staged   *snapshotStaged
	Runners  []snapshotRunner
	Replicas []snapshotReplica
	// Claims contains the open claims; in snapshots of earlier versions, all claims.
	Claims   []snapshotClaim
	Released []structs.RequestID
	Holders  []answerHolder
	Finished []snapshotFinished
	Keys     []snapshotKeys
}

type snapshotChange struct {
	Revision uint64
	Row      structs.RowName
}

type snapshotRunner struct {
	Info          structs.RunnerInfo
	Draining      bool
	Gone          bool
	Prefetch      structs.RowName
	PrefetchOrder structs.OrderNumber
	// Changed is the index at which the runner or a replica on it last changed.
	Changed uint64
}

type snapshotReplica struct {
	Replica  structs.Replica
	Base     structs.RowName
	Reserved structs.OrderNumber
}

type snapshotClaim struct {
	Claim snapshotOpenClaim
	// Bytes is ignored; snapshots of earlier versions contain it.
	Bytes int64
}

// snapshotFinished is a finishedClaim; Holder is an index in snapshotData.Holders.
type snapshotFinished struct {
	//lint:ignore U1000 The codec reads its tag.
	_msgpack struct{} `msgpack:",as_array"`

	Key       uint64
	Digest    uint64
	Request   uint64
	Answer    uint64
	Bytes     uint32
	ExpiresAt uint32
	Holder    uint32
}

// snapshotKeys is a keyBatch; Keys contains the sorted keys, 8 bytes each.
type snapshotKeys struct {
	End  uint32
	Keys []byte
}

// Snapshot encodes the state as a magic number, a checksum and compressed msgpack.
// Equal states give equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	plain, err := encode(s.snapshotData())
	if err != nil {
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "compress zone snapshot")
	}
	defer encoder.Close()
	packed := encoder.EncodeAll(plain, nil)
	data := slices.Clone(snapshotMagic)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(packed))
	return append(data, packed...), nil
}

func (s *State) snapshotData() snapshotData {
	data := snapshotData{
		Zone: s.zone, Index: s.index, PlacementIndex: s.placementIndex, Table: s.table.full(),
		TableFloor: s.table.floor, Staged: s.table.snapshotStaged(),
	}
	for _, change := range s.table.changes {
		data.TableChanges = append(data.TableChanges, snapshotChange{change.revision, change.row})
	}
	for _, runner := range s.Runners() {
		data.Runners = append(data.Runners, snapshotRunner{
			runner.RunnerInfo, runner.Draining, runner.Gone, runner.Prefetch, runner.PrefetchOrder,
			s.runnerIndex[runner.ID],
		})
	}
	for _, replica := range s.Replicas() {
		data.Replicas = append(data.Replicas, snapshotReplica{replica.Replica, replica.Base, replica.Reserved})
	}
	s.claims.save(&data)
	return data
}

// Restore replaces the state by that of a snapshot. It returns ErrorCorrupt and leaves
// the state unchanged if the snapshot is invalid.
func (s *State) Restore(data []byte) error {
	header := len(snapshotMagic) + snapshotChecksumBytes
	if len(data) < header || !bytes.HasPrefix(data, snapshotMagic) {
		return corrupt("the zone snapshot has no valid header")
	}
	packed := data[header:]
	if binary.BigEndian.Uint64(data[len(snapshotMagic):]) != xxhash.Sum64(packed) {
		return corrupt("the zone snapshot fails its checksum")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return errors.Wrap(err, "decompress zone snapshot")
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return corrupt("the zone snapshot cannot be decompressed: " + err.Error())
	}
	return s.restorePlain(plain)
}

func (s *State) restorePlain(plain []byte) error {
	var content snapshotData
	if err := decode(plain, &content); err != nil {
		return err
	}
	if content.Zone != s.zone {
		return corrupt("the zone snapshot is of another zone")
	}
	restored, err := content.state()
	if err != nil {
		return err
	}
	if err := restored.CheckInvariants(); err != nil {
		return corrupt("the zone snapshot breaks an invariant: " + err.Error())
	}
	*s = *restored
	return nil
}

func (d snapshotData) state() (*State, error) {
	s := New(d.Zone)
	s.index = d.Index
	s.placementIndex = d.PlacementIndex
	s.recordsIndex = d.Index
	if d.Table.Revision > 0 {
		d.Table.Full = true
		if problem := s.table.adopt(d.Zone, &d.Table); problem != nil {
			return nil, corrupt("the zone snapshot has an invalid table: " + problem.Message)
		}
	}
	if err := s.table.restoreChanges(d.TableFloor, d.TableChanges); err != nil {
		return nil, err
	}
	if err := s.table.restoreStaged(d.Zone, d.Staged); err != nil {
		return nil, err
	}
	for _, entry := range d.Runners {
		s.runnerIndex[entry.Info.ID] = entry.changedBy(d.PlacementIndex)
		s.runners[entry.Info.ID] = &Runner{entry.Info, entry.Draining, entry.Gone, entry.Prefetch, entry.PrefetchOrder}
	}
	for _, entry := range d.Replicas {
		entry.Replica.Since = normalTime(entry.Replica.Since)
		if _, twice := s.Replica(entry.Replica.Runner, entry.Replica.Row); twice {
			return nil, corrupt("the zone snapshot holds a replica twice")
		}
		s.addReplica(&Replica{entry.Replica, entry.Base, entry.Reserved})
	}
	if err := s.claims.restore(d); err != nil {
		return nil, err
	}
	return s, nil
}

// changedBy returns the index at which the runner last changed. Snapshots of earlier
// versions lack it; the last change of any runner is used instead.
func (r *snapshotRunner) changedBy(placementIndex uint64) uint64 {
	if r.Changed == 0 {
		return placementIndex
	}
	return min(r.Changed, placementIndex)
}

// restoreChanges restores the recorded table changes. Snapshots of earlier versions
// have none; readers behind their revision then get the full table.
func (t *adoptedTable) restoreChanges(floor uint64, changes []snapshotChange) error {
	if floor == 0 && len(changes) == 0 {
		return nil
	}
	last := floor
	for _, change := range changes {
		if change.Revision <= floor || change.Revision < last || change.Revision > t.revision {
			return corrupt("the zone snapshot holds table changes out of order")
		}
		last = change.Revision
		t.changes = append(t.changes, tableChange{change.Revision, change.Row})
	}
	t.floor = floor
	return nil
}
