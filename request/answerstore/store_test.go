package answerstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.etcd.io/bbolt"

	"github.com/lotusferry/lotusferry/structs"
)

var testNow = time.Unix(1_000_000, 0)

func testAnswer(number, bytes int) Answer {
	name := fmt.Sprint(number)
	return Answer{
		Key: structs.ClaimKey("caller/key-" + name), Request: structs.RequestID("request-" + name),
		Data: []byte(fmt.Sprintf("%0*d", bytes, number)), ExpiresAt: testNow.Add(time.Duration(number) * time.Hour),
	}
}

// eachStore runs a test with each Store implementation.
func eachStore(t *testing.T, limit int64, test func(c *qt.C, store Store)) {
	t.Run("file", func(t *testing.T) {
		c := qt.New(t)
		store, _, err := OpenFile(filepath.Join(t.TempDir(), "answers.db"), limit)
		c.Assert(err, qt.IsNil)
		defer func() { c.Assert(store.Close(), qt.IsNil) }()
		test(c, store)
	})
	t.Run("memory", func(t *testing.T) { test(qt.New(t), NewMemory(limit)) })
}

func (a Answer) isStoredIn(store Store) bool {
	kept, found := store.Get(a.Key, testNow)
	return found && kept.Request == a.Request && string(kept.Data) == string(a.Data)
}

func TestOldestAnswersAreEvictedAtLimit(t *testing.T) {
	const fits = 10
	size := testAnswer(1, 100).size()
	eachStore(t, fits*size, func(c *qt.C, store Store) {
		for number := range 2 * fits {
			c.Assert(store.Put(testAnswer(1+number, 100-len(fmt.Sprint(1+number))+1), testNow), qt.IsNil)
		}
		c.Assert(store.Usage().Bytes <= fits*size, qt.IsTrue)
		c.Assert(store.Usage().Answers, qt.Equals, fits)
		for number := range 2 * fits {
			answer := testAnswer(1+number, 100-len(fmt.Sprint(1+number))+1)
			c.Assert(answer.isStoredIn(store), qt.Equals, number >= fits)
		}
		err := store.Put(testAnswer(1, int(fits*size)), testNow)
		c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorLimit)
	})
}

func TestExpiry(t *testing.T) {
	eachStore(t, 1<<20, func(c *qt.C, store Store) {
		for number := range 5 {
			c.Assert(store.Put(testAnswer(1+number, 10), testNow), qt.IsNil)
		}
		_, found := store.Get(testAnswer(2, 10).Key, testNow.Add(2*time.Hour))
		c.Assert(found, qt.IsFalse)
		c.Assert(store.Expire(testNow.Add(2*time.Hour)), qt.IsNil)
		c.Assert(store.Usage().Answers, qt.Equals, 3)
		// Put also removes expired answers.
		c.Assert(store.Put(testAnswer(9, 10), testNow.Add(4*time.Hour)), qt.IsNil)
		c.Assert(store.Usage().Answers, qt.Equals, 2)
	})
}

func TestPutReplacesAnswerWithSameKey(t *testing.T) {
	eachStore(t, 1<<20, func(c *qt.C, store Store) {
		earlier, later := testAnswer(1, 10), testAnswer(1, 30)
		later.Request = "later"
		c.Assert(store.Put(earlier, testNow), qt.IsNil)
		c.Assert(store.Put(later, testNow), qt.IsNil)
		c.Assert(later.isStoredIn(store), qt.IsTrue)
		c.Assert(store.Usage(), qt.Equals, Usage{Answers: 1, Bytes: later.size()})
	})
}

func TestAnswersAndUsageSurviveRestart(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "answers.db")
	store, _, err := OpenFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	for number := range 20 {
		c.Assert(store.Put(testAnswer(1+number, 100), testNow), qt.IsNil)
	}
	usage := store.Usage()
	// Restore the file as of before Close, as after a crash.
	file, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(store.Close(), qt.IsNil)
	c.Assert(os.WriteFile(path, file, fileMode), qt.IsNil)
	store, damaged, err := OpenFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(damaged, qt.Equals, "")
	c.Assert(store.Usage(), qt.Equals, usage)
	for number := range 20 {
		c.Assert(testAnswer(1+number, 100).isStoredIn(store), qt.IsTrue)
	}
	c.Assert(store.Close(), qt.IsNil)
}

func TestUnrecorded(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "answers.db")
	store, _, err := OpenFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	var keys []structs.ClaimKey
	for number := range 4 {
		c.Assert(store.Put(testAnswer(1+number, 10), testNow), qt.IsNil)
		keys = append(keys, testAnswer(1+number, 10).Key)
	}
	store.Recorded(keys[0], testAnswer(1, 10).Request)
	store.Recorded(keys[1], "an earlier request")
	// The marks are not yet written.
	unrecorded, err := store.Unrecorded()
	c.Assert(err, qt.IsNil)
	c.Assert(unrecorded, qt.DeepEquals, keys)
	c.Assert(store.Put(testAnswer(4, 20), testNow), qt.IsNil)
	unrecorded, err = store.Unrecorded()
	c.Assert(err, qt.IsNil)
	c.Assert(unrecorded, qt.DeepEquals, keys[1:])
	// An expired answer is no longer listed as unrecorded.
	c.Assert(store.Expire(testNow.Add(2*time.Hour)), qt.IsNil)
	store.Recorded(keys[2], testAnswer(3, 10).Request)
	c.Assert(store.Close(), qt.IsNil)
	store, _, err = OpenFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	unrecorded, err = store.Unrecorded()
	c.Assert(err, qt.IsNil)
	c.Assert(unrecorded, qt.DeepEquals, keys[3:])
	c.Assert(store.Close(), qt.IsNil)
}

func TestConcurrentPutsShareCommit(t *testing.T) {
	c := qt.New(t)
	store, _, err := OpenFile(filepath.Join(t.TempDir(), "answers.db"), 1<<20)
	c.Assert(err, qt.IsNil)
	first, second := &pendingPut{answer: testAnswer(1, 10)}, &pendingPut{answer: testAnswer(2, 10)}
	store.pending = []*pendingPut{first, second}
	writes := func() int64 {
		stats := store.db.Stats()
		return stats.TxStats.GetWrite()
	}
	before := writes()
	store.commit(testNow)
	c.Assert(first.done && second.done, qt.IsTrue)
	shared := writes() - before
	c.Assert(store.Put(testAnswer(3, 10), testNow), qt.IsNil)
	c.Assert(writes()-before-shared, qt.Equals, shared)
	for number := range 3 {
		c.Assert(testAnswer(1+number, 10).isStoredIn(store), qt.IsTrue)
	}
	c.Assert(store.Close(), qt.IsNil)
}

func TestCorruptRecordIsNotReturned(t *testing.T) {
	c := qt.New(t)
	store, _, err := OpenFile(filepath.Join(t.TempDir(), "answers.db"), 1<<20)
	c.Assert(err, qt.IsNil)
	answer := testAnswer(1, 100)
	c.Assert(store.Put(answer, testNow), qt.IsNil)
	for position := range requestOffset + len(answer.Request) + len(answer.Data) {
		change := func(tx *bbolt.Tx) error {
			record := append([]byte(nil), tx.Bucket(answersBucket).Get(hashKey(answer.Key))...)
			record[position] ^= 1
			return tx.Bucket(answersBucket).Put(hashKey(answer.Key), record)
		}
		c.Assert(store.db.Update(change), qt.IsNil)
		_, found := store.Get(answer.Key, testNow)
		c.Assert(found, qt.IsFalse, qt.Commentf("position %d", position))
		c.Assert(store.db.Update(change), qt.IsNil)
	}
	c.Assert(answer.isStoredIn(store), qt.IsTrue)
	c.Assert(store.Close(), qt.IsNil)
}

func TestCorruptFileIsRenamed(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "answers.db")
	c.Assert(os.WriteFile(path, make([]byte, 1<<16), fileMode), qt.IsNil)
	store, damaged, err := OpenFile(path, 1<<20)
	c.Assert(err, qt.IsNil)
	c.Assert(damaged, qt.Equals, path+damagedSuffix)
	c.Assert(store.Put(testAnswer(1, 10), testNow), qt.IsNil)
	_, _, err = OpenFile(path, 1<<20)
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorUnavailable)
	c.Assert(store.Close(), qt.IsNil)
}
