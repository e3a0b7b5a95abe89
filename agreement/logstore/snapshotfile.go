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
	// snapshotFileMagic is the prefix of snapshot files; its last byte is the format version.
	snapshotFileMagic = []byte("lotusferry snapshot\x01")
	snapshotFileKey   = []byte("snapshot file")
)

// snapshotFileRecord is the content of a snapshot file.
type snapshotFileRecord struct {
	Identity Identity
	// Snapshot is an encoded snapshotRecord with its own checksum.
	Snapshot []byte
}

// EncodeSnapshotFile returns the content of a snapshot file, for a backup taken over the
// network.
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

// WriteSnapshotFile writes a backup of snapshot, taken by the given member, to path. It
// replaces the file atomically: after a crash path has either its previous content or the
// whole backup.
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

// ReadSnapshotFile returns the snapshot in a backup and the member that wrote it. It
// returns ErrorCorrupt if the file differs from what was written.
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
		return raft.Snapshot{}, Identity{}, errors.New("not a snapshot file of this version")
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
