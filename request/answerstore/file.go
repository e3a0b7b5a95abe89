package answerstore

import (
	"encoding/binary"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	fileMode = 0o600
	// lockTimeout is how long OpenFile waits for another process to release the file.
	lockTimeout = time.Second
	// expiredPerCommit is the maximum number of answers removed by one commit of Expire.
	expiredPerCommit = 1_000
	// maxRecorded is the maximum number of recorded ends that wait for a commit. Further
	// ones are recorded again after a restart, which is idempotent.
	maxRecorded = 1 << 16
	// damagedSuffix is appended to the name of a corrupt file.
	damagedSuffix = ".damaged"
)

// The buckets of the file. answersBucket maps key hashes to records, orderBucket maps
// sequence numbers to key hashes, unrecordedBucket maps key hashes to the keys whose ends
// may not be recorded by their zones, and usageBucket holds the usage counters.
var (
	answersBucket    = []byte("answers")
	orderBucket      = []byte("order")
	unrecordedBucket = []byte("unrecorded")
	usageBucket      = []byte("usage")
	bytesKey         = []byte("bytes")
	countKey         = []byte("count")
)

// File is a Store in a bbolt file. Put syncs the file before it returns, and each record
// has a checksum.
type File struct {
	limit int64
	db    *bbolt.DB

	// pending are the answers to write in the next commit.
	mutex   sync.Mutex
	pending []*pendingPut
	// recorded are the ends to mark as recorded in the next commit.
	recorded []recordedEnd
	// commitMutex is held during a commit.
	commitMutex sync.Mutex
}

// pendingPut is an answer to write in a commit. File.commitMutex guards done and err.
type pendingPut struct {
	answer Answer
	done   bool
	err    error
}

// recordedEnd identifies a request whose end the zone has recorded.
type recordedEnd struct {
	key     structs.ClaimKey
	request structs.RequestID
}

var _ Store = (*File)(nil)

// OpenFile opens or creates the store at path with a limit in bytes. A corrupt file is
// renamed and replaced by an empty one; damaged is then its new name. Answers above the
// limit are evicted by the next Put. The error has kind ErrorUnavailable if another
// process has the file open.
func OpenFile(path string, limit int64) (store *File, damaged string, err error) {
	store, err = openFile(path, limit)
	if err == nil || structs.KindOf(err) != structs.ErrorCorrupt {
		return store, "", err
	}
	damaged = path + damagedSuffix
	if err := os.Rename(path, damaged); err != nil {
		return nil, "", errors.Wrap(err, "rename the damaged answer store")
	}
	store, err = openFile(path, limit)
	return store, damaged, err
}

func openFile(path string, limit int64) (*File, error) {
	store := &File{limit: limit}
	err := recoverCorruption(path, func() error {
		db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return classifyOpenError(path, err)
		}
		store.db = db
		return db.Update(func(tx *bbolt.Tx) error {
			for _, name := range [][]byte{answersBucket, orderBucket, unrecordedBucket, usageBucket} {
				if _, err := tx.CreateBucketIfNotExists(name); err != nil {
					return errors.Wrap(err, "create the buckets of the answer store")
				}
			}
			return nil
		})
	})
	if err != nil && store.db != nil {
		_ = store.db.Close()
	}
	return store, err
}

func classifyOpenError(path string, err error) error {
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return structs.NewError(structs.ErrorUnavailable, path+" is in use by another process", "Give each daemon a data folder of its own.")
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return corruptError(path, err)
	}
	return errors.Wrap(err, "open the answer store")
}

func corruptError(path string, cause any) *structs.Error {
	return structs.NewError(structs.ErrorCorrupt, fmt.Sprintf("the answer store %s is damaged: %v", path, cause),
		"No action is required: the stored answers are lost, and their requests do not run again.")
}

// recoverCorruption runs work and returns panics of bbolt and faults in the mapped file as
// corruption errors.
func recoverCorruption(path string, work func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = corruptError(path, cause)
		}
	}()
	return work()
}

// Put implements Store. Concurrent calls during a commit share the next commit, because
// a commit needs two syncs.
func (f *File) Put(answer Answer, now time.Time) error {
	if answer.size() > f.limit {
		return tooLarge()
	}
	put := &pendingPut{answer: answer}
	f.mutex.Lock()
	f.pending = append(f.pending, put)
	f.mutex.Unlock()
	f.commitMutex.Lock()
	defer f.commitMutex.Unlock()
	if !put.done {
		f.commit(now)
	}
	return put.err
}

// commit writes all pending answers and recorded ends. The caller must hold commitMutex.
func (f *File) commit(now time.Time) {
	f.mutex.Lock()
	puts := f.pending
	f.pending = nil
	f.mutex.Unlock()
	ends := f.takeRecorded()
	err := recoverCorruption(f.db.Path(), func() error {
		return f.db.Update(func(tx *bbolt.Tx) error {
			buckets := openBuckets(tx)
			if err := buckets.markRecorded(ends); err != nil {
				return err
			}
			return buckets.putAll(puts, f.limit, now)
		})
	})
	for _, put := range puts {
		put.done, put.err = true, err
	}
}

// Recorded implements Store.
func (f *File) Recorded(key structs.ClaimKey, request structs.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.recorded) < maxRecorded {
		f.recorded = append(f.recorded, recordedEnd{key: key, request: request})
	}
}

func (f *File) takeRecorded() []recordedEnd {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ends := f.recorded
	f.recorded = nil
	return ends
}

// saveRecorded writes the pending recorded ends. The caller must hold commitMutex.
func (f *File) saveRecorded() error {
	ends := f.takeRecorded()
	if len(ends) == 0 {
		return nil
	}
	return recoverCorruption(f.db.Path(), func() error {
		return f.db.Update(func(tx *bbolt.Tx) error { return openBuckets(tx).markRecorded(ends) })
	})
}

// Unrecorded implements Store.
func (f *File) Unrecorded() ([]structs.ClaimKey, error) {
	var unrecorded []structs.ClaimKey
	err := recoverCorruption(f.db.Path(), func() error {
		return f.db.View(func(tx *bbolt.Tx) error {
			return tx.Bucket(unrecordedBucket).ForEach(func(_, key []byte) error {
				unrecorded = append(unrecorded, structs.ClaimKey(key))
				return nil
			})
		})
	})
	slices.Sort(unrecorded)
	return unrecorded, err
}

// Get implements Store.
func (f *File) Get(key structs.ClaimKey, now time.Time) (Answer, bool) {
	var answer Answer
	found := false
	err := recoverCorruption(f.db.Path(), func() error {
		return f.db.View(func(tx *bbolt.Tx) error {
			answer, found = decodeRecord(key, tx.Bucket(answersBucket).Get(hashKey(key)))
			return nil
		})
	})
	return answer, err == nil && found && answer.ExpiresAt.After(now)
}

// Expire implements Store.
func (f *File) Expire(now time.Time) error {
	f.commitMutex.Lock()
	defer f.commitMutex.Unlock()
	if err := f.saveRecorded(); err != nil {
		return err
	}
	for {
		removed := 0
		err := recoverCorruption(f.db.Path(), func() error {
			return f.db.Update(func(tx *bbolt.Tx) (err error) {
				buckets := openBuckets(tx)
				if removed, err = buckets.expire(now, expiredPerCommit); err != nil {
					return err
				}
				return buckets.save()
			})
		})
		if err != nil || removed < expiredPerCommit {
			return err
		}
	}
}

// Usage implements Store.
func (f *File) Usage() Usage {
	var usage Usage
	_ = recoverCorruption(f.db.Path(), func() error {
		return f.db.View(func(tx *bbolt.Tx) error {
			buckets := openBuckets(tx)
			usage = buckets.usage
			return nil
		})
	})
	return usage
}

// Close implements Store.
func (f *File) Close() error {
	f.commitMutex.Lock()
	err := f.saveRecorded()
	f.commitMutex.Unlock()
	if closeErr := f.db.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close the answer store")
}

func readCounter(bucket *bbolt.Bucket, key []byte) int64 {
	value := bucket.Get(key)
	if len(value) != 8 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(value))
}
