package table

import (
	"crypto/sha256"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// editDigest is a truncated SHA-256 hash of an edit's content.
type editDigest [16]byte

// answerRecord is the recorded result of an edit, with the edit's digest.
type answerRecord struct {
	digest editDigest
	result structs.EditResult
}

// answerLog records the results of the latest EditResultRetention edit IDs.
type answerLog struct {
	byID map[structs.EditID]answerRecord
	// order lists the IDs, oldest first.
	order []structs.EditID
}

func newAnswerLog() answerLog {
	return answerLog{byID: make(map[structs.EditID]answerRecord)}
}

func (l *answerLog) find(id structs.EditID) (answerRecord, bool) {
	record, found := l.byID[id]
	return record, found
}

// add records an answer whose ID is not in the log, and evicts the oldest one if the
// log is full.
func (l *answerLog) add(record answerRecord) {
	l.byID[record.result.ID] = record
	l.order = append(l.order, record.result.ID)
	if len(l.order) > EditResultRetention {
		delete(l.byID, l.order[0])
		l.order[0] = ""
		l.order = l.order[1:]
	}
}

// cloneResult returns a deep copy of a result.
func cloneResult(result structs.EditResult) structs.EditResult {
	result.Problems = slices.Clone(result.Problems)
	result.Conflicts = slices.Clone(result.Conflicts)
	for i, conflict := range result.Conflicts {
		if conflict.Current != nil {
			current := *conflict.Current
			result.Conflicts[i].Current = &current
		}
	}
	return result
}

// digestOf hashes the content of an edit. It ignores Row.Revision, which the table
// sets, and all fields of deleted rows but the name.
func digestOf(edit structs.Edit) editDigest {
	edit.Changes = slices.Clone(edit.Changes)
	for i := range edit.Changes {
		change := &edit.Changes[i]
		change.Row.Revision = 0
		if change.Delete {
			change.Row = structs.Row{Name: change.Row.Name}
		}
	}
	hash := sha256.New()
	// Cannot fail: hashes accept all writes, and the struct has only encodable fields.
	if err := msgpack.NewEncoder(hash).Encode(&edit); err != nil {
		panic(err)
	}
	var digest editDigest
	copy(digest[:], hash.Sum(nil))
	return digest
}
