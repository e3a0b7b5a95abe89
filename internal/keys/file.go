package keys

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// fileMode lets only the owner read or write.
const fileMode = 0o600

// WriteFile puts content at path in one step: whoever reads path sees the old
// content or the new one, and the new one is synced when WriteFile returns.
func WriteFile(path string, content []byte) error {
	temporary, err := writeTemporary(path, content)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		os.Remove(temporary)
		return errors.Wrap(err, "put the file in place")
	}
	return syncFolder(filepath.Dir(path))
}

// WriteNewFile is WriteFile that never replaces a file: its error has then the
// kind conflict.
func WriteNewFile(path string, content []byte) error {
	temporary, err := writeTemporary(path, content)
	if err != nil {
		return err
	}
	defer os.Remove(temporary)
	err = os.Link(temporary, path)
	if os.IsExist(err) {
		return structs.NewError(structs.ErrorConflict,
			"the file "+path+" is there already",
			"Move it away first if it is no longer needed; what it signed is lost without it.")
	}
	if err != nil {
		return errors.Wrap(err, "put the file in place")
	}
	return syncFolder(filepath.Dir(path))
}

// writeTemporary writes and syncs content beside path. os.CreateTemp gives the
// file the mode 0600.
func writeTemporary(path string, content []byte) (string, error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return "", errors.Wrap(err, "make a file")
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Chmod(fileMode)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		os.Remove(file.Name())
		return "", errors.Wrap(err, "write "+path)
	}
	return file.Name(), nil
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the folder to sync it")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync the folder")
}
