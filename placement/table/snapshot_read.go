package table

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxPreallocated is the maximum number of elements allocated for an unverified length.
const maxPreallocated = 1024

// snapshotReader reads the output of snapshotWriter. After the first error, all values
// read are zero.
type snapshotReader struct {
	decoder *msgpack.Decoder
	err     error
	// names interns strings that occur in many rows.
	names map[string]string
}

func (r *snapshotReader) fail(reason string) {
	if r.err == nil {
		r.err = errors.New(reason)
	}
}

// read returns the value decoded by decode, or zero after an error.
func read[T any](r *snapshotReader, decode func() (T, error)) T {
	var zero T
	if r.err != nil {
		return zero
	}
	value, err := decode()
	if err != nil {
		r.err = err
		return zero
	}
	return value
}

func (r *snapshotReader) unsigned() uint64 { return read(r, r.decoder.DecodeUint64) }
func (r *snapshotReader) text() string     { return read(r, r.decoder.DecodeString) }
func (r *snapshotReader) flag() bool       { return read(r, r.decoder.DecodeBool) }
func (r *snapshotReader) integer() int     { return int(read(r, r.decoder.DecodeInt64)) }

// count reads a length. Loops over it must end at the first error.
func (r *snapshotReader) count() int {
	count := read(r, r.decoder.DecodeArrayLen)
	if count < 0 {
		r.fail("a list is missing")
	}
	return max(count, 0)
}

// small reads an integer of a grant.
func (r *snapshotReader) small() uint16 {
	value := r.integer()
	if value < 0 || value > math.MaxUint16 {
		r.fail("a grant is out of range")
		return 0
	}
	return uint16(value)
}

// name reads and interns a string.
func (r *snapshotReader) name() string {
	text := r.text()
	if shared, found := r.names[text]; found {
		return shared
	}
	r.names[text] = text
	return text
}

// list reads a list, up to the first error.
func list[T any](r *snapshotReader, one func() T) []T {
	count := r.count()
	if count == 0 {
		return nil
	}
	values := make([]T, 0, min(count, maxPreallocated))
	for ; count > 0 && r.err == nil; count-- {
		values = append(values, one())
	}
	return values
}

func (r *snapshotReader) state(s *State) {
	s.revision = r.unsigned()
	s.floor = r.unsigned()
	s.pruneAt = r.integer()
	zones := list(r, r.zone)
	if len(zones) > MaxZones {
		r.fail("there are too many zones")
		return
	}
	for _, zone := range zones {
		s.addZone(zone)
	}
	for _, row := range list(r, func() *rowState { return r.rowState(len(s.zones)) }) {
		s.addRestored(row)
	}
	s.history = list(r, r.historyEntry)
	for _, record := range list(r, r.answer) {
		s.answers.add(record)
	}
	if r.err != nil {
		return
	}
	r.countDependents(s)
}

// countDependents rebuilds the dependents and adapters, which are not in the snapshot.
func (r *snapshotReader) countDependents(s *State) {
	for _, row := range s.rows {
		if row.deleted || row.row.Base == "" {
			continue
		}
		base := s.rows[row.row.Base]
		if base == nil {
			r.fail("the base of a row is missing")
			return
		}
		base.dependents++
		if row.row.NeedsBase() {
			base.adapters = append(base.adapters, row)
		}
	}
	for _, row := range s.rows {
		slices.SortFunc(row.adapters, func(a, b *rowState) int { return cmp.Compare(a.row.Name, b.row.Name) })
	}
}

func (s *State) addRestored(row *rowState) {
	s.rows[row.row.Name] = row
	s.changes.append(row)
	if row.deleted {
		s.tombstones++
	}
}

func (r *snapshotReader) zone() ZoneState {
	return ZoneState{
		Zone:    structs.ZoneID(r.text()),
		Weight:  r.integer(),
		Removed: r.flag(),
		InForce: r.unsigned(),
	}
}

func (r *snapshotReader) rowState(zones int) *rowState {
	state := &rowState{
		row:           r.row(),
		deleted:       r.flag(),
		changed:       r.unsigned(),
		zonesChanged:  r.unsigned(),
		heldOverLimit: r.integer(),
	}
	count := r.count()
	state.grants = make([]grantState, 0, min(count, maxPreallocated))
	for ; count > 0 && r.err == nil; count-- {
		grant, minimum := r.grant()
		if int(grant.zone) >= zones {
			r.fail("a grant names an unknown zone")
		}
		state.grants = append(state.grants, grant)
		if minimum > 0 {
			if state.minimums == nil {
				state.minimums = make(map[uint16]uint16)
			}
			state.minimums[grant.zone] = minimum
		}
	}
	return state
}

// grant reads a zone's grant and minimum.
func (r *snapshotReader) grant() (grant grantState, minimum uint16) {
	grant.zone = r.small()
	grant.limit = r.small()
	grant.held = r.small()
	grant.wish = r.small()
	minimum = r.small()
	grant.sequence = r.unsigned()
	return grant, minimum
}

func (r *snapshotReader) row() structs.Row {
	return structs.Row{
		Name:        structs.RowName(r.text()),
		Kind:        structs.RowKind(r.name()),
		Base:        structs.RowName(r.name()),
		Weight:      r.integer(),
		Priority:    structs.Priority(r.integer()),
		MinReplicas: r.integer(),
		MaxReplicas: r.integer(),
		MemoryBytes: int64(r.integer()),
		Role:        structs.RunnerRole(r.name()),
		Objective:   structs.Objective(r.name()),
		Revision:    r.unsigned(),
	}
}

func (r *snapshotReader) historyEntry() structs.HistoryEntry {
	return structs.HistoryEntry{
		Revision: r.unsigned(),
		At:       read(r, func() (time.Time, error) { return r.decoder.DecodeTime() }).UTC(),
		Author:   r.name(),
		Comment:  r.text(),
		EditID:   structs.EditID(r.text()),
		Rows:     list(r, func() structs.RowName { return structs.RowName(r.text()) }),
	}
}

func (r *snapshotReader) answer() answerRecord {
	record := answerRecord{}
	record.result.ID = structs.EditID(r.text())
	digest := read(r, r.decoder.DecodeBytes)
	if len(digest) != len(record.digest) {
		r.fail("a digest has the wrong length")
	}
	copy(record.digest[:], digest)
	record.result.Accepted = r.flag()
	record.result.Revision = r.unsigned()
	record.result.Problems = list(r, r.problem)
	record.result.Conflicts = list(r, r.conflict)
	return record
}

func (r *snapshotReader) problem() structs.RowProblem {
	return structs.RowProblem{
		Row:     structs.RowName(r.text()),
		Column:  r.text(),
		Value:   r.text(),
		Problem: r.text(),
		Remedy:  r.text(),
	}
}

func (r *snapshotReader) conflict() structs.RowConflict {
	conflict := structs.RowConflict{Row: structs.RowName(r.text()), BaseRevision: r.unsigned()}
	if r.flag() {
		row := r.row()
		conflict.Current = &row
	}
	return conflict
}
