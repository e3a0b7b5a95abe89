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

// buckets holds the buckets of the file in a transaction.
type buckets struct {
	answers    *bbolt.Bucket
	order      *bbolt.Bucket
	unrecorded *bbolt.Bucket
	counters   *bbolt.Bucket
	usage      Usage
}

func openBuckets(tx *bbolt.Tx) *buckets {
	counters := tx.Bucket(usageBucket)
	return &buckets{
		answers:    tx.Bucket(answersBucket),
		order:      tx.Bucket(orderBucket),
		unrecorded: tx.Bucket(unrecordedBucket),
		counters:   counters,
		usage:      Usage{Answers: int(readCounter(counters, countKey)), Bytes: readCounter(counters, bytesKey)},
	}
}

// save writes the usage counters.
func (b *buckets) save() error {
	if err := b.counters.Put(bytesKey, encodeNumber(uint64(b.usage.Bytes))); err != nil {
		return errors.Wrap(err, "update the usage counters")
	}
	return errors.Wrap(b.counters.Put(countKey, encodeNumber(uint64(b.usage.Answers))), "update the usage counters")
}

// putAll stores answers, evicts the oldest ones above limit bytes, and removes expired ones.
func (b *buckets) putAll(puts []*pendingPut, limit int64, now time.Time) error {
	for _, put := range puts {
		if err := b.put(put.answer); err != nil {
			return err
		}
	}
	if err := b.shrink(limit); err != nil {
		return err
	}
	if _, err := b.expire(now, expiredPerPut); err != nil {
		return err
	}
	return b.save()
}

// put stores an answer as the most recent one.
func (b *buckets) put(answer Answer) error {
	hash := hashKey(answer.Key)
	if previous := b.answers.Get(hash); previous != nil {
		if err := b.remove(positionOf(previous), hash); err != nil {
			return err
		}
	}
	number, err := b.order.NextSequence()
	if err != nil {
		return errors.Wrap(err, "update the insertion order")
	}
	position := encodeNumber(number)
	if err := b.order.Put(position, hash); err != nil {
		return errors.Wrap(err, "update the insertion order")
	}
	if err := b.answers.Put(hash, encodeRecord(position, answer)); err != nil {
		return errors.Wrap(err, "store an answer")
	}
	if err := b.unrecorded.Put(hash, []byte(answer.Key)); err != nil {
		return errors.Wrap(err, "store an answer")
	}
	b.usage.Answers++
	b.usage.Bytes += answer.size()
	return nil
}

// markRecorded marks the ends of requests as recorded by their zones. It ignores ends of
// requests whose answer was replaced by another one with the same key.
func (b *buckets) markRecorded(ends []recordedEnd) error {
	for _, recorded := range ends {
		hash := hashKey(recorded.key)
		kept, isKept := decodeRecord(recorded.key, b.answers.Get(hash))
		if isKept && kept.Request != recorded.request {
			continue
		}
		if err := b.unrecorded.Delete(hash); err != nil {
			return errors.Wrap(err, "mark an end as recorded")
		}
	}
	return nil
}

// remove removes the answer at a position of the insertion order.
func (b *buckets) remove(position, hash []byte) error {
	if record := b.answers.Get(hash); record != nil && string(positionOf(record)) == string(position) {
		b.usage.Answers--
		b.usage.Bytes -= sizeOf(record)
		if err := b.answers.Delete(hash); err != nil {
			return errors.Wrap(err, "remove an answer")
		}
		if err := b.unrecorded.Delete(hash); err != nil {
			return errors.Wrap(err, "remove an answer")
		}
	}
	return errors.Wrap(b.order.Delete(position), "remove an answer")
}

// shrink removes the oldest answers until at most limit bytes are in use.
func (b *buckets) shrink(limit int64) error {
	for b.usage.Bytes > limit {
		position, hash := b.first()
		if position == nil {
			return nil
		}
		if err := b.remove(position, hash); err != nil {
			return err
		}
	}
	return nil
}

// expire removes at most limit expired answers in insertion order, and returns the
// number removed.
func (b *buckets) expire(now time.Time, limit int) (int, error) {
	for removed := range limit {
		position, hash := b.first()
		if position == nil || expiryOf(b.answers.Get(hash)).After(now) {
			return removed, nil
		}
		if err := b.remove(position, hash); err != nil {
			return removed, err
		}
	}
	return limit, nil
}

// first returns copies of the first position in the insertion order and its key hash.
func (b *buckets) first() (position, hash []byte) {
	position, hash = b.order.Cursor().First()
	return append([]byte(nil), position...), append([]byte(nil), hash...)
}

// hashKey returns the bucket key for a claim key, which may have any length.
func hashKey(key structs.ClaimKey) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// Offsets in a record. A record consists of the checksum, the position in the insertion
// order and the expiry in Unix seconds (8 bytes each), the length of the request ID
// (2 bytes), the request ID and the data.
const (
	positionOffset = 8
	expiryOffset   = 16
	lengthOffset   = 24
	requestOffset  = 26
)

func encodeNumber(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }

func encodeRecord(position []byte, answer Answer) []byte {
	record := make([]byte, positionOffset, requestOffset+len(answer.Request)+len(answer.Data))
	record = append(record, position...)
	record = binary.BigEndian.AppendUint64(record, uint64(answer.ExpiresAt.Unix()))
	record = binary.BigEndian.AppendUint16(record, uint16(len(answer.Request)))
	record = append(record, answer.Request...)
	record = append(record, answer.Data...)
	binary.BigEndian.PutUint64(record, checksum(answer.Key, record))
	return record
}

// checksum includes the key, so that a record stored under another key is detected.
func checksum(key structs.ClaimKey, record []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(key))
	_, _ = digest.Write(record[positionOffset:])
	return digest.Sum64()
}

// decodeRecord decodes a record. It returns false if the record is missing or corrupt.
func decodeRecord(key structs.ClaimKey, record []byte) (Answer, bool) {
	if len(record) < requestOffset || binary.BigEndian.Uint64(record) != checksum(key, record) {
		return Answer{}, false
	}
	end := requestOffset + int(binary.BigEndian.Uint16(record[lengthOffset:]))
	if end > len(record) {
		return Answer{}, false
	}
	return Answer{
		Key:       key,
		Request:   structs.RequestID(record[requestOffset:end]),
		Data:      append([]byte(nil), record[end:]...),
		ExpiresAt: expiryOf(record),
	}, true
}

// positionOf returns a copy of a record's position in the insertion order, or nil if the
// record is too short.
func positionOf(record []byte) []byte {
	if len(record) < requestOffset {
		return nil
	}
	return append([]byte(nil), record[positionOffset:expiryOffset]...)
}

// expiryOf returns the expiry of a record, or the zero time if it is too short.
func expiryOf(record []byte) time.Time {
	if len(record) < requestOffset {
		return time.Time{}
	}
	return time.Unix(int64(binary.BigEndian.Uint64(record[expiryOffset:])), 0)
}

// sizeOf returns Answer.size of the answer in a record.
func sizeOf(record []byte) int64 { return int64(len(record)-requestOffset) + overheadBytes }
