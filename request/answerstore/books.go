package answerstore

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.etcd.io/bbolt"

	"github.com/lotusferry/lotusferry/structs"
)

// books are the buckets of the file in one transaction.
type books struct {
	answers    *bbolt.Bucket
	order      *bbolt.Bucket
	unrecorded *bbolt.Bucket
	numbers    *bbolt.Bucket
	usage      Usage
}

func openBooks(tx *bbolt.Tx) *books {
	numbers := tx.Bucket(usageBucket)
	return &books{
		answers:    tx.Bucket(answersBucket),
		order:      tx.Bucket(orderBucket),
		unrecorded: tx.Bucket(unrecordedBucket),
		numbers:    numbers,
		usage:      Usage{Answers: int(readNumber(numbers, countKey)), Bytes: readNumber(numbers, bytesKey)},
	}
}

// save writes what is in use.
func (b *books) save() error {
	if err := b.numbers.Put(bytesKey, encodeNumber(uint64(b.usage.Bytes))); err != nil {
		return errors.Wrap(err, "count the kept answers")
	}
	return errors.Wrap(b.numbers.Put(countKey, encodeNumber(uint64(b.usage.Answers))), "count the kept answers")
}

// take keeps answers, and removes what has no place or no time left.
func (b *books) take(tickets []*ticket, limit int64, now time.Time) error {
	for _, waiting := range tickets {
		if err := b.put(waiting.answer); err != nil {
			return err
		}
	}
	if err := b.shrink(limit); err != nil {
		return err
	}
	if _, err := b.expire(now, expiredAtOnce); err != nil {
		return err
	}
	return b.save()
}

// put keeps an answer as the newest.
func (b *books) put(answer Answer) error {
	hash := hashKey(answer.Key)
	if earlier := b.answers.Get(hash); earlier != nil {
		if err := b.remove(placeOf(earlier), hash); err != nil {
			return err
		}
	}
	number, err := b.order.NextSequence()
	if err != nil {
		return errors.Wrap(err, "order the kept answers")
	}
	place := encodeNumber(number)
	if err := b.order.Put(place, hash); err != nil {
		return errors.Wrap(err, "order the kept answers")
	}
	if err := b.answers.Put(hash, encodeRecord(place, answer)); err != nil {
		return errors.Wrap(err, "keep an answer")
	}
	if err := b.unrecorded.Put(hash, []byte(answer.Key)); err != nil {
		return errors.Wrap(err, "keep an answer")
	}
	b.usage.Answers++
	b.usage.Bytes += answer.size()
	return nil
}

// note takes in that zones have the ends of requests. A note about a request whose
// answer another one under the key has replaced says nothing.
func (b *books) note(notes []recordedNote) error {
	for _, recorded := range notes {
		hash := hashKey(recorded.key)
		kept, isKept := decodeRecord(recorded.key, b.answers.Get(hash))
		if isKept && kept.Request != recorded.request {
			continue
		}
		if err := b.unrecorded.Delete(hash); err != nil {
			return errors.Wrap(err, "note that an end is recorded")
		}
	}
	return nil
}

// remove removes the answer at a place of the order.
func (b *books) remove(place, hash []byte) error {
	if record := b.answers.Get(hash); record != nil && string(placeOf(record)) == string(place) {
		b.usage.Answers--
		b.usage.Bytes -= sizeOf(record)
		if err := b.answers.Delete(hash); err != nil {
			return errors.Wrap(err, "remove an answer")
		}
		if err := b.unrecorded.Delete(hash); err != nil {
			return errors.Wrap(err, "remove an answer")
		}
	}
	return errors.Wrap(b.order.Delete(place), "remove an answer")
}

// shrink removes the answers that were kept first until at most limit bytes are in use.
func (b *books) shrink(limit int64) error {
	for b.usage.Bytes > limit {
		place, hash := b.first()
		if place == nil {
			return nil
		}
		if err := b.remove(place, hash); err != nil {
			return err
		}
	}
	return nil
}

// expire removes expired answers from the front of the order, at most so many, and
// returns their number.
func (b *books) expire(now time.Time, most int) (int, error) {
	for removed := range most {
		place, hash := b.first()
		if place == nil || expiryOf(b.answers.Get(hash)).After(now) {
			return removed, nil
		}
		if err := b.remove(place, hash); err != nil {
			return removed, err
		}
	}
	return most, nil
}

// first returns copies of the first place in the order and the hash there.
func (b *books) first() (place, hash []byte) {
	place, hash = b.order.Cursor().First()
	return append([]byte(nil), place...), append([]byte(nil), hash...)
}

// hashKey keeps equal keys equal and others apart; keys have any length.
func hashKey(key structs.ClaimKey) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// A record is, in this order: its checksum, its place in the order and its expiry
// in seconds since 1970, of 8 bytes each; the length of the request's ID in 2
// bytes and the ID; the data.
const (
	placeAt   = 8
	expiryAt  = 16
	lengthAt  = 24
	requestAt = 26
)

func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func encodeRecord(place []byte, answer Answer) []byte {
	record := make([]byte, placeAt, requestAt+len(answer.Request)+len(answer.Data))
	record = append(record, place...)
	record = binary.BigEndian.AppendUint64(record, uint64(answer.ExpiresAt.Unix()))
	record = binary.BigEndian.AppendUint16(record, uint16(len(answer.Request)))
	record = append(record, answer.Request...)
	record = append(record, answer.Data...)
	binary.BigEndian.PutUint64(record, checksum(answer.Key, record))
	return record
}

// checksum covers the key too, so that a record under another key is noticed.
func checksum(key structs.ClaimKey, record []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(key))
	_, _ = digest.Write(record[placeAt:])
	return digest.Sum64()
}

// decodeRecord returns false when there is no record or it is damaged.
func decodeRecord(key structs.ClaimKey, record []byte) (Answer, bool) {
	if len(record) < requestAt || binary.BigEndian.Uint64(record) != checksum(key, record) {
		return Answer{}, false
	}
	end := requestAt + int(binary.BigEndian.Uint16(record[lengthAt:]))
	if end > len(record) {
		return Answer{}, false
	}
	return Answer{
		Key:       key,
		Request:   structs.RequestID(record[requestAt:end]),
		Data:      append([]byte(nil), record[end:]...),
		ExpiresAt: expiryOf(record),
	}, true
}

// placeOf returns a copy of a record's place in the order.
func placeOf(record []byte) []byte {
	if len(record) < requestAt {
		return nil
	}
	return append([]byte(nil), record[placeAt:expiryAt]...)
}

// expiryOf returns when a record expires; one that is too short has expired.
func expiryOf(record []byte) time.Time {
	if len(record) < requestAt {
		return time.Time{}
	}
	return time.Unix(int64(binary.BigEndian.Uint64(record[expiryAt:])), 0)
}

// sizeOf is Answer.size of a record.
func sizeOf(record []byte) int64 { return int64(len(record)-requestAt) + overheadBytes }
