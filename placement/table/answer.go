package table

import (
	"crypto/sha256"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/vmihailenco/msgpack/v5"
)

// editDigest is the hash of an edit's content.
type editDigest [16]byte

// answerRecord is the first answer to an edit, with the edit's digest.
type answerRecord struct {
	digest editDigest
	result structs.EditResult
}

// answerLog keeps the first answers to the newest EditResultRetention edit IDs.
type answerLog struct {
	byID map[structs.EditID]answerRecord
	// order lists the IDs from the oldest on.
	order []structs.EditID
}

func newAnswerLog() answerLog {
	return answerLog{byID: make(map[structs.EditID]answerRecord)}
}

func (l *answerLog) find(id structs.EditID) (answerRecord, bool) {
	record, found := l.byID[id]
	return record, found
}

// add keeps an answer whose ID is not in the log, and forgets the oldest.
func (l *answerLog) add(record answerRecord) {
	l.byID[record.result.ID] = record
	l.order = append(l.order, record.result.ID)
	if len(l.order) > EditResultRetention {
		delete(l.byID, l.order[0])
		l.order[0] = ""
		l.order = l.order[1:]
	}
}

// cloneResult copies an answer, so that what the caller does with it stays out of
// the log.
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

// digestOf hashes what counts of an edit: not Row.Revision, which the table sets,
// and of a deletion only the name.
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
	// Neither the hash nor a struct of strings and integers can fail to encode.
	if err := msgpack.NewEncoder(hash).Encode(&edit); err != nil {
		panic(err)
	}
	var digest editDigest
	copy(digest[:], hash.Sum(nil))
	return digest
}
