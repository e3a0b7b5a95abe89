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
	// lockTimeout is how long OpenFile waits for another process to let go of the file.
	lockTimeout = time.Second
	// expiredPerCommit bounds what one commit of Expire removes.
	expiredPerCommit = 1_000
	// maxRecorded bounds the notes that wait for a commit. Ends whose notes are left out
	// are recorded again after a restart, which changes nothing.
	maxRecorded = 1 << 16
	// damagedSuffix is added to the name of a file that cannot be read.
	damagedSuffix = ".damaged"
)

// The buckets of the file. answersBucket has the records by the hash of their keys,
// orderBucket the hashes by the number of the keeping, unrecordedBucket the keys whose
// ends their zones may not have, by their hashes, usageBucket what is in use.
var (
	answersBucket    = []byte("answers")
	orderBucket      = []byte("order")
	unrecordedBucket = []byte("unrecorded")
	usageBucket      = []byte("usage")
	bytesKey         = []byte("bytes")
	countKey         = []byte("count")
)

// File is a Store in a bbolt file: each Put is synced before it returns, and each
// record has a checksum.
type File struct {
	limit int64
	db    *bbolt.DB

	// waiting are the answers that the next commit takes in.
	mutex   sync.Mutex
	waiting []*ticket
	// recorded are the notes that the next commit takes in.
	recorded []recordedNote
	// committing is held by whoever commits.
	committing sync.Mutex
}

// ticket is an answer on its way into the file; done and err are guarded by
// File.committing.
type ticket struct {
	answer Answer
	done   bool
	err    error
}

// recordedNote says that the zone has the end of a request.
type recordedNote struct {
	key     structs.ClaimKey
	request structs.RequestID
}

var _ Store = (*File)(nil)

// OpenFile opens the store at path, of at most limit bytes, and creates it when
// there is none. A file that cannot be read is set aside under another name and
// an empty one takes its place; damaged then names it. Answers beyond the limit
// make way at the next Put. ErrorUnavailable says that another process has the
// file open.
func OpenFile(path string, limit int64) (store *File, damaged string, err error) {
	store, err = openFile(path, limit)
	if err == nil || structs.KindOf(err) != structs.ErrorCorrupt {
		return store, "", err
	}
	damaged = path + damagedSuffix
	if err := os.Rename(path, damaged); err != nil {
		return nil, "", errors.Wrap(err, "set the damaged file of answers aside")
	}
	store, err = openFile(path, limit)
	return store, damaged, err
}

func openFile(path string, limit int64) (*File, error) {
	store := &File{limit: limit}
	err := guarded(path, func() error {
		db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return openProblem(path, err)
		}
		store.db = db
		return db.Update(func(tx *bbolt.Tx) error {
			for _, name := range [][]byte{answersBucket, orderBucket, unrecordedBucket, usageBucket} {
				if _, err := tx.CreateBucketIfNotExists(name); err != nil {
					return errors.Wrap(err, "prepare the file of answers")
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

func openProblem(path string, err error) error {
	switch {
	case errors.Is(err, bbolterrors.ErrTimeout):
		return structs.NewError(structs.ErrorUnavailable, path+" is in use by another process", "Give each daemon a data folder of its own.")
	case errors.Is(err, bbolterrors.ErrInvalid), errors.Is(err, bbolterrors.ErrChecksum), errors.Is(err, bbolterrors.ErrVersionMismatch):
		return damage(path, err)
	}
	return errors.Wrap(err, "open the file of answers")
}

func damage(path string, cause any) *structs.Error {
	return structs.NewError(structs.ErrorCorrupt, fmt.Sprintf("the file of answers %s is damaged: %v", path, cause),
		"Nothing needs to be done: the answers in it are lost, and their requests do not run again.")
}

// guarded runs work on the file and returns the library's panics, and faults in
// the mapped file, as damage.
func guarded(path string, work func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = damage(path, cause)
		}
	}()
	return work()
}

// Put implements Store. Answers that wait while a commit is under way share the
// next one: a commit costs two syncs.
func (f *File) Put(answer Answer, now time.Time) error {
	if answer.size() > f.limit {
		return tooLarge()
	}
	own := &ticket{answer: answer}
	f.mutex.Lock()
	f.waiting = append(f.waiting, own)
	f.mutex.Unlock()
	f.committing.Lock()
	defer f.committing.Unlock()
	if !own.done {
		f.commit(now)
	}
	return own.err
}

// commit takes in all answers that wait. The caller holds committing.
func (f *File) commit(now time.Time) {
	f.mutex.Lock()
	tickets := f.waiting
	f.waiting = nil
	f.mutex.Unlock()
	notes := f.takeRecorded()
	err := guarded(f.db.Path(), func() error {
		return f.db.Update(func(tx *bbolt.Tx) error {
			books := openBooks(tx)
			if err := books.note(notes); err != nil {
				return err
			}
			return books.take(tickets, f.limit, now)
		})
	})
	for _, taken := range tickets {
		taken.done, taken.err = true, err
	}
}

// Recorded implements Store.
func (f *File) Recorded(key structs.ClaimKey, request structs.RequestID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.recorded) < maxRecorded {
		f.recorded = append(f.recorded, recordedNote{key: key, request: request})
	}
}

func (f *File) takeRecorded() []recordedNote {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	notes := f.recorded
	f.recorded = nil
	return notes
}

// saveRecorded writes the notes that no commit has taken in.
func (f *File) saveRecorded() error {
	notes := f.takeRecorded()
	if len(notes) == 0 {
		return nil
	}
	return guarded(f.db.Path(), func() error {
		return f.db.Update(func(tx *bbolt.Tx) error { return openBooks(tx).note(notes) })
	})
}

// Unrecorded implements Store.
func (f *File) Unrecorded() ([]structs.ClaimKey, error) {
	var unrecorded []structs.ClaimKey
	err := guarded(f.db.Path(), func() error {
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
	err := guarded(f.db.Path(), func() error {
		return f.db.View(func(tx *bbolt.Tx) error {
			answer, found = decodeRecord(key, tx.Bucket(answersBucket).Get(hashKey(key)))
			return nil
		})
	})
	return answer, err == nil && found && answer.ExpiresAt.After(now)
}

// Expire implements Store.
func (f *File) Expire(now time.Time) error {
	f.committing.Lock()
	defer f.committing.Unlock()
	if err := f.saveRecorded(); err != nil {
		return err
	}
	for {
		removed := 0
		err := guarded(f.db.Path(), func() error {
			return f.db.Update(func(tx *bbolt.Tx) (err error) {
				books := openBooks(tx)
				if removed, err = books.expire(now, expiredPerCommit); err != nil {
					return err
				}
				return books.save()
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
	_ = guarded(f.db.Path(), func() error {
		return f.db.View(func(tx *bbolt.Tx) error {
			books := openBooks(tx)
			usage = books.usage
			return nil
		})
	})
	return usage
}

// Close implements Store.
func (f *File) Close() error {
	f.committing.Lock()
	err := f.saveRecorded()
	f.committing.Unlock()
	if closeErr := f.db.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close the file of answers")
}

func readNumber(bucket *bbolt.Bucket, key []byte) int64 {
	value := bucket.Get(key)
	if len(value) != 8 {
		return 0
	}
	return int64(binary.BigEndian.Uint64(value))
}
