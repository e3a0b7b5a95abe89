package answerstore

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// overheadBytes is the assumed overhead of a stored answer: key, position in the
	// order and file pages.
	overheadBytes = 160
	// expiredPerPut is the maximum number of expired answers removed by one Put.
	expiredPerPut = 64
)

// Answer is the complete answer to a request with an idempotency key.
type Answer struct {
	Key     structs.ClaimKey
	Request structs.RequestID
	// Data is the encoded answer.
	Data []byte
	// ExpiresAt is the expiry of the answer, with a resolution of one second.
	ExpiresAt time.Time
}

// size returns the size of the answer in bytes, including overhead.
func (a Answer) size() int64 { return int64(len(a.Data)+len(a.Request)) + overheadBytes }

// Usage is the number and the total size of the answers in a store.
type Usage struct {
	Answers int
	Bytes   int64
}

// Store stores answers by key. It is safe for concurrent use.
type Store interface {
	// Put stores an answer and replaces an earlier one with the same key. When it
	// returns, the answer is durable if the store is. An answer larger than the limit of
	// the store is refused with ErrorLimit.
	Put(answer Answer, now time.Time) error
	// Get returns the answer with the key, or false if there is none or it is expired
	// or corrupt.
	Get(key structs.ClaimKey, now time.Time) (Answer, bool)
	// Expire removes expired answers.
	Expire(now time.Time) error
	// Recorded marks the end of the request as recorded by the home zone of the key. The
	// mark is written with the next commit. If it is lost in a crash, the end is
	// recorded again.
	Recorded(key structs.ClaimKey, request structs.RequestID)
	// Unrecorded returns the sorted keys of the answers whose ends are not marked as
	// recorded.
	Unrecorded() ([]structs.ClaimKey, error)
	// Usage returns the current usage.
	Usage() Usage
	// Close closes the store.
	Close() error
}

func tooLarge() *structs.Error {
	return structs.NewError(structs.ErrorLimit, "the answer is larger than the limit of the answer store", "Raise limits.answer_bytes.")
}
