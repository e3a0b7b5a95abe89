package logstore

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

var (
	// snapshotFileMagic starts every snapshot file; its last byte is the version.
	snapshotFileMagic = []byte("lotusferry snapshot\x01")
	snapshotFileKey   = []byte("snapshot file")
)

// snapshotFileRecord is the content of a snapshot file.
type snapshotFileRecord struct {
	Identity Identity
	// Snapshot is an encoded record with its own checksum.
	Snapshot []byte
}

// EncodeSnapshotFile returns the content of a snapshot file, for a backup that is
// taken over the network.
func EncodeSnapshotFile(snapshot raft.Snapshot, identity Identity) ([]byte, error) {
	encoded, err := encodeSnapshot(snapshotKey, snapshot)
	if err != nil {
		return nil, err
	}
	record, err := encodeRecord(snapshotFileKey, &snapshotFileRecord{
		Identity: identity,
		Snapshot: encoded,
	})
	if err != nil {
		return nil, err
	}
	return append(bytes.Clone(snapshotFileMagic), record...), nil
}

// WriteSnapshotFile writes a backup of snapshot, taken by the given member, to
// path. The file is synced before it gets its name: path holds either what it
// held before or the whole backup.
func WriteSnapshotFile(path string, snapshot raft.Snapshot, identity Identity) error {
	content, err := EncodeSnapshotFile(snapshot, identity)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := writeSynced(temporary, content); err != nil {
		return writeError(path, err)
	}
	return renameSynced(temporary, path)
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// ReadSnapshotFile reads a backup and says which member wrote it. A file that is
// not exactly what was written is refused with ErrorCorrupt.
func ReadSnapshotFile(path string) (raft.Snapshot, Identity, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, Identity{}, errors.Wrap(err, "read snapshot file")
	}
	snapshot, identity, err := decodeSnapshotFile(content)
	if err != nil {
		return raft.Snapshot{}, Identity{}, corruptBackupError(path, err)
	}
	return snapshot, identity, nil
}

func decodeSnapshotFile(content []byte) (raft.Snapshot, Identity, error) {
	value, found := bytes.CutPrefix(content, snapshotFileMagic)
	if !found {
		return raft.Snapshot{}, Identity{}, errors.New("it is no snapshot file of this version")
	}
	var record snapshotFileRecord
	if err := decodeRecord(snapshotFileKey, value, &record); err != nil {
		return raft.Snapshot{}, Identity{}, err
	}
	snapshot, err := decodeSnapshot(snapshotKey, record.Snapshot)
	if err != nil {
		return raft.Snapshot{}, Identity{}, err
	}
	return snapshot, record.Identity, nil
}

func corruptBackupError(path string, err error) error {
	return structs.NewError(structs.ErrorCorrupt,
		fmt.Sprintf("backup %s is damaged: %v", path, err),
		"Restore from another backup, or take a new one from a running member.")
}
