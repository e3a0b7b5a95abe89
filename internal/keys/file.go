package keys

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// fileMode gives access to the owner only.
const fileMode = 0o600

// WriteFile atomically replaces the file at path. The content is synced when WriteFile
// returns.
func WriteFile(path string, content []byte) error {
	temporary, err := writeTemporary(path, content)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		os.Remove(temporary)
		return errors.Wrap(err, "move the file to its path")
	}
	return syncFolder(filepath.Dir(path))
}

// WriteNewFile is like WriteFile, but returns an error of the kind conflict if the file
// exists.
func WriteNewFile(path string, content []byte) error {
	temporary, err := writeTemporary(path, content)
	if err != nil {
		return err
	}
	defer os.Remove(temporary)
	err = os.Link(temporary, path)
	if os.IsExist(err) {
		return structs.NewError(structs.ErrorConflict,
			"the file "+path+" already exists",
			"Move it first if it is no longer needed; without a CA's key, its certificates cannot be renewed.")
	}
	if err != nil {
		return errors.Wrap(err, "move the file to its path")
	}
	return syncFolder(filepath.Dir(path))
}

// writeTemporary writes and syncs content to a temporary file in the folder of path, and
// returns its path.
func writeTemporary(path string, content []byte) (string, error) {
	file, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return "", errors.Wrap(err, "create a temporary file")
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
		return errors.Wrap(err, "open the folder for syncing")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync the folder")
}
