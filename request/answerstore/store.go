package answerstore

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// overheadBytes is what an answer counts beside its data: its key, its request,
	// its place in the order and the pages of the file.
	overheadBytes = 160
	// expiredAtOnce bounds the expired answers that one Put removes.
	expiredAtOnce = 64
)

// Answer is the whole answer to a request with a key.
type Answer struct {
	Key     structs.ClaimKey
	Request structs.RequestID
	// Data is the encoded answer.
	Data []byte
	// ExpiresAt is when the answer may be removed, to the second.
	ExpiresAt time.Time
}

// size is what the answer counts in bytes.
func (a Answer) size() int64 { return int64(len(a.Data)+len(a.Request)) + overheadBytes }

// Usage is what a store holds.
type Usage struct {
	Answers int
	Bytes   int64
}

// Store keeps answers by key. Its methods may be called from several goroutines.
type Store interface {
	// Put keeps an answer, in the place of an earlier one under its key. It returns
	// once the answer outlasts a crash, as far as the store can. An answer that is
	// larger than the store is refused with ErrorLimit.
	Put(answer Answer, now time.Time) error
	// Get returns the answer under a key, and false when there is none, it has
	// expired or it is damaged.
	Get(key structs.ClaimKey, now time.Time) (Answer, bool)
	// Expire removes answers whose time is over.
	Expire(now time.Time) error
	// Recorded notes that the key's home zone has the end of the request. The note is
	// written with the next commit: one that a crash loses makes the end be recorded again.
	Recorded(key structs.ClaimKey, request structs.RequestID)
	// Unrecorded returns the keys of the answers without such a note, ordered by key.
	Unrecorded() ([]structs.ClaimKey, error)
	// Usage says what is kept.
	Usage() Usage
	// Close ends the use of the store.
	Close() error
}

func tooLarge() *structs.Error {
	return structs.NewError(structs.ErrorLimit, "the answer is larger than all the place for answers", "Raise limits.answer_bytes.")
}
