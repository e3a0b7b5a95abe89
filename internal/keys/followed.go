package keys

import (
	"os"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Source describes the files of a Followed.
type Source[T any] struct {
	// Name is the plural noun for the content, used in log lines.
	Name string
	// Paths are the files checked for changes.
	Paths []string
	// Read reads the files. Its error should contain a remedy.
	Read func() (T, error)
}

// Followed is a value that is reloaded when its files change. If the changed files are
// invalid, it keeps the last valid value and logs the error once. It is safe for
// concurrent use.
type Followed[T any] struct {
	logger log.Logger
	source Source[T]

	mutex     sync.Mutex
	fileInfos []os.FileInfo // at the last read; nil if a file was missing
	value     T
}

// Follow reads the files and returns a Followed, or the error of Read.
func Follow[T any](logger log.Logger, source Source[T]) (*Followed[T], error) {
	followed := &Followed[T]{logger: log.With(logger, "component", "keys"), source: source}
	// Stat the files before reading them, so that a change in between is detected later.
	followed.fileInfos = statFiles(source.Paths)
	value, err := source.Read()
	if err != nil {
		return nil, err
	}
	followed.value = value
	return followed, nil
}

// Current reloads changed files and returns the latest valid value.
func (f *Followed[T]) Current() T {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	infos := statFiles(f.source.Paths)
	if infos == nil && f.fileInfos == nil {
		return f.value // the missing file has been logged
	}
	if infos != nil && unchanged(infos, f.fileInfos) {
		return f.value
	}
	f.fileInfos = infos
	value, err := f.source.Read()
	if err != nil {
		level.Error(f.logger).Log("msg", "Changed "+f.source.Name+" cannot be used. The last good ones stay in force.", "err", err)
		return f.value
	}
	f.value = value
	level.Info(f.logger).Log("msg", f.source.Name+" were read again.")
	return f.value
}

func unchanged(before, after []os.FileInfo) bool {
	if len(before) != len(after) {
		return false
	}
	for index := range before {
		if !os.SameFile(before[index], after[index]) {
			return false
		}
		if !before[index].ModTime().Equal(after[index].ModTime()) {
			return false
		}
		if before[index].Size() != after[index].Size() {
			return false
		}
	}
	return true
}

// statFiles returns the os.FileInfo of each file, or nil if one is not accessible.
func statFiles(paths []string) []os.FileInfo {
	infos := make([]os.FileInfo, 0, len(paths))
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil
		}
		infos = append(infos, info)
	}
	return infos
}
