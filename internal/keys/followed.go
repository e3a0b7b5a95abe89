package keys

import (
	"os"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Source is what a Followed reads.
type Source[T any] struct {
	// Name is what the files hold, in the plural, for the log.
	Name string
	// Paths are the files whose change is followed.
	Paths []string
	// Read reads the files. Its error names the remedy.
	Read func() (T, error)
}

// Followed is what files hold, read again once they have changed. While the changed
// files cannot be used, the last good value stays in force and the cause is logged
// once. A Followed is safe for concurrent use.
type Followed[T any] struct {
	logger log.Logger
	source Source[T]

	mutex  sync.Mutex
	stamps []os.FileInfo // of the last attempt; nil when a file was missing
	value  T
}

// Follow reads the files for the first time. Its error is that of the read.
func Follow[T any](logger log.Logger, source Source[T]) (*Followed[T], error) {
	followed := &Followed[T]{logger: log.With(logger, "component", "keys"), source: source}
	// The files' state is read before their content, so that a change in between is
	// seen next time.
	followed.stamps = stampsOf(source.Paths)
	value, err := source.Read()
	if err != nil {
		return nil, err
	}
	followed.value = value
	return followed, nil
}

// Current returns the newest value that can be used.
func (f *Followed[T]) Current() T {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	stamps := stampsOf(f.source.Paths)
	if stamps == nil && f.stamps == nil {
		return f.value // missing files have been logged
	}
	if stamps != nil && sameStamps(stamps, f.stamps) {
		return f.value
	}
	f.stamps = stamps
	value, err := f.source.Read()
	if err != nil {
		level.Error(f.logger).Log("msg", "Changed "+f.source.Name+" cannot be used. The last good ones stay in force.", "err", err)
		return f.value
	}
	f.value = value
	level.Info(f.logger).Log("msg", f.source.Name+" were read again.")
	return f.value
}

func sameStamps(before, after []os.FileInfo) bool {
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

// stampsOf returns the state of each file, or nil when one cannot be looked at.
func stampsOf(paths []string) []os.FileInfo {
	stamps := make([]os.FileInfo, 0, len(paths))
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil
		}
		stamps = append(stamps, info)
	}
	return stamps
}
