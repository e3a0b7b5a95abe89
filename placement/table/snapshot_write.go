package table

import (
	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// snapshotWriter writes a state and keeps the first error.
type snapshotWriter struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *snapshotWriter) setError(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *snapshotWriter) unsigned(value uint64) { w.setError(w.encoder.EncodeUint(value)) }
func (w *snapshotWriter) integer(value int64)   { w.setError(w.encoder.EncodeInt(value)) }
func (w *snapshotWriter) count(value int)       { w.setError(w.encoder.EncodeArrayLen(value)) }
func (w *snapshotWriter) text(value string)     { w.setError(w.encoder.EncodeString(value)) }
func (w *snapshotWriter) flag(value bool)       { w.setError(w.encoder.EncodeBool(value)) }

func (w *snapshotWriter) state(s *State) {
	w.unsigned(s.revision)
	w.unsigned(s.floor)
	w.integer(int64(s.pruneAt))
	w.count(len(s.zones))
	for _, zone := range s.zones {
		w.zone(zone)
	}
	w.count(len(s.rows))
	for row := s.changes.oldest; row != nil; row = row.next {
		w.rowState(row)
	}
	w.count(len(s.history))
	for i := range s.history {
		w.historyEntry(&s.history[i])
	}
	w.count(len(s.answers.order))
	for _, id := range s.answers.order {
		w.answer(s.answers.byID[id])
	}
}

func (w *snapshotWriter) zone(zone *ZoneState) {
	w.text(string(zone.Zone))
	w.integer(int64(zone.Weight))
	w.flag(zone.Removed)
	w.unsigned(zone.InForce)
}

func (w *snapshotWriter) rowState(state *rowState) {
	w.row(&state.row)
	w.flag(state.deleted)
	w.unsigned(state.changed)
	w.unsigned(state.zonesChanged)
	w.integer(int64(state.heldOverLimit))
	w.count(len(state.grants))
	for i := range state.grants {
		grant := &state.grants[i]
		w.integer(int64(grant.zone))
		w.integer(int64(grant.limit))
		w.integer(int64(grant.held))
		w.integer(int64(grant.wish))
		w.integer(int64(state.minimums[grant.zone]))
		w.unsigned(grant.sequence)
	}
}

func (w *snapshotWriter) row(row *structs.Row) {
	w.text(string(row.Name))
	w.text(string(row.Kind))
	w.text(string(row.Base))
	w.integer(int64(row.Weight))
	w.integer(int64(row.Priority))
	w.integer(int64(row.MinReplicas))
	w.integer(int64(row.MaxReplicas))
	w.integer(row.MemoryBytes)
	w.text(string(row.Role))
	w.text(string(row.Objective))
	w.unsigned(row.Revision)
}

func (w *snapshotWriter) historyEntry(entry *structs.HistoryEntry) {
	w.unsigned(entry.Revision)
	w.setError(w.encoder.EncodeTime(entry.At))
	w.text(entry.Author)
	w.text(entry.Comment)
	w.text(string(entry.EditID))
	w.count(len(entry.Rows))
	for _, name := range entry.Rows {
		w.text(string(name))
	}
}

func (w *snapshotWriter) answer(record answerRecord) {
	result := &record.result
	w.text(string(result.ID))
	w.setError(w.encoder.EncodeBytes(record.digest[:]))
	w.flag(result.Accepted)
	w.unsigned(result.Revision)
	w.count(len(result.Problems))
	for _, problem := range result.Problems {
		w.text(string(problem.Row))
		w.text(problem.Column)
		w.text(problem.Value)
		w.text(problem.Problem)
		w.text(problem.Remedy)
	}
	w.count(len(result.Conflicts))
	for _, conflict := range result.Conflicts {
		w.text(string(conflict.Row))
		w.unsigned(conflict.BaseRevision)
		w.flag(conflict.Current != nil)
		if conflict.Current != nil {
			w.row(conflict.Current)
		}
	}
}
