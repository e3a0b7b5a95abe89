package logstore

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// lockTimeout is how long Open waits for another process to release the file.
	lockTimeout = time.Second
	fileMode    = 0o600
	folderMode  = 0o700
	// entryFillPercent is high because entries are appended in key order.
	entryFillPercent = 0.95
)

var (
	stateBucket   = []byte("state")
	entriesBucket = []byte("entries")
	identityKey   = []byte("identity")
	stateKey      = []byte("state")
	snapshotKey   = []byte("snapshot")
)

// Identity identifies the owner of a file. Daemon and Node together identify one
// incarnation of a member.
type Identity struct {
	Group  string
	Daemon structs.DaemonID
	Node   raft.NodeID
}

// Store is the durable state of one member of a Raft group. Its methods may be called
// concurrently.
type Store struct {
	path     string
	identity Identity
	db       *bbolt.DB

	mutex sync.Mutex
	state stateRecord
	// snapshotIndex is the index of the stored snapshot.
	snapshotIndex uint64
	// restored is the state read by Open, returned by the first Load.
	restored *raft.Restored
	// writeFailure is the first write error, returned by all later writes.
	writeFailure error
}

// Open opens the store at path, and creates it and its folder if the file does not exist.
// It reads and validates the whole file. It returns ErrorConflict if the file has another
// identity (node 0 matches any node), ErrorCorrupt if its content differs from what was
// written, and ErrorUnavailable if another process has it open.
func Open(path string, identity Identity) (*Store, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(path, identity); err != nil {
			return nil, err
		}
	}
	store := &Store{path: path}
	if err := store.openChecked(identity); err != nil {
		if store.db != nil {
			_ = store.db.Close()
		}
		return nil, err
	}
	return store, nil
}

// OpenMember is like Open but keeps the node ID stored in the file. node is used only if
// the file does not exist, and must never have been used before.
func OpenMember(path string, group string, daemon structs.DaemonID, node raft.NodeID) (*Store, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return Open(path, Identity{Group: group, Daemon: daemon, Node: node})
	}
	return Open(path, Identity{Group: group, Daemon: daemon})
}

// Identity returns the identity stored in the file.
func (s *Store) Identity() Identity { return s.identity }

func (s *Store) openChecked(identity Identity) error {
	return recoverFaults(s.path, func() error {
		db, err := openFile(s.path)
		if err != nil {
			return err
		}
		s.db = db
		if err := checkMetaPages(s.path); err != nil {
			return err
		}
		return db.View(func(tx *bbolt.Tx) error {
			found, err := checkIdentity(tx, s.path, identity)
			if err != nil {
				return err
			}
			s.identity = found
			contents, err := readAll(tx, s.path)
			if err != nil {
				return err
			}
			s.state = contents.state
			s.snapshotIndex = contents.restored.Snapshot.Index
			s.restored = &contents.restored
			return checkPages(tx, s.path)
		})
	})
}

func openFile(path string) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout:         lockTimeout,
		PreLoadFreelist: true,
		FreelistType:    bbolt.FreelistMapType,
	})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, structs.NewError(structs.ErrorUnavailable,
			fmt.Sprintf("%s is open in another process", path),
			"Stop the other daemon that uses this data folder, or give this one its own.")
	}
	if err != nil {
		return nil, openError(path, err)
	}
	return db, nil
}

// openError wraps errors of the operating system and reports others as corruption.
func openError(path string, err error) error {
	var pathError *fs.PathError
	var number syscall.Errno
	if errors.As(err, &pathError) || errors.As(err, &number) {
		return errors.Wrapf(err, "open %s", path)
	}
	return corruptError(path, err.Error())
}

// create writes a new file under a temporary name and renames it, so that a crash leaves
// either no file or a complete one.
func create(path string, identity Identity) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return writeError(path, err)
	}
	temporary := path + ".new"
	if err := os.RemoveAll(temporary); err != nil {
		return writeError(path, err)
	}
	db, err := openFile(temporary)
	if err != nil {
		return writeError(path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error { return writeInitial(tx, identity) })
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return writeError(path, err)
	}
	return renameSynced(temporary, path)
}

func writeInitial(tx *bbolt.Tx, identity Identity) error {
	bucket, err := tx.CreateBucket(stateBucket)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(entriesBucket); err != nil {
		return err
	}
	if err := putRecord(bucket, identityKey, &identity); err != nil {
		return err
	}
	if err := putSnapshot(bucket, raft.Snapshot{}); err != nil {
		return err
	}
	return putRecord(bucket, stateKey, &stateRecord{First: 1})
}

// renameSynced renames a synced file and syncs the folder, so that the new name survives a
// crash.
func renameSynced(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return writeError(to, err)
	}
	folder, err := os.Open(filepath.Dir(to))
	if err != nil {
		return writeError(to, err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return writeError(to, err)
	}
	return nil
}

// Load returns the state after the last successful Save or Compact.
func (s *Store) Load() (raft.Restored, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.restored != nil {
		restored := *s.restored
		s.restored = nil
		return restored, nil
	}
	var restored raft.Restored
	err := recoverFaults(s.path, func() error {
		return s.db.View(func(tx *bbolt.Tx) error {
			contents, err := readAll(tx, s.path)
			restored = contents.restored
			return err
		})
	})
	return restored, err
}

// Close closes the file. Completed calls of Save and Compact are already durable.
func (s *Store) Close() error {
	return errors.Wrapf(s.db.Close(), "close %s", s.path)
}

// recoverFaults calls run, which accesses the memory-mapped file. A damaged page can make
// bbolt panic or cause a memory fault; both are returned as corruption.
func recoverFaults(path string, run func() error) (err error) {
	previous := debug.SetPanicOnFault(true)
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if problem := recover(); problem != nil {
			err = corruptError(path, fmt.Sprint(problem))
		}
	}()
	return run()
}

func corruptError(path, problem string) error {
	return structs.NewError(structs.ErrorCorrupt,
		fmt.Sprintf("%s is damaged: %s", path, problem),
		"Remove this member from its group, remove its data folder, and let the daemon rejoin under a new identity.")
}

func writeError(path string, err error) error {
	typed := structs.NewError(structs.ErrorInternal,
		fmt.Sprintf("writing %s failed: %v", path, err),
		"Check the disk for free space, quota and faults, then restart the daemon.")
	return errors.WithStack(typed)
}
