package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// File names in the data directory.
	viewBaseFile    = "view.cache"
	viewChangesFile = "view.changes"
	// viewHeader precedes the checksum of a saved view.
	viewHeader = "lotusferry-view-1"
	// maxChangesBytes is the size of the change file at which the whole view is saved
	// again. A table of 58,000 rows takes about 12 MB and produces about 200 B/s of
	// changes.
	maxChangesBytes = 4 << 20
)

// viewStore persists a router's view of its zone as a whole view and the changes after
// it. Table changes are synced before the router applies them, so that its revision
// never goes back after a restart; changes of the placement alone may be lost. It is
// not safe for concurrent use.
type viewStore struct {
	zone        structs.ZoneID
	basePath    string
	changesPath string
	// changes is open once the whole view was saved or loaded. If nil, the whole view
	// must be saved before changes can be appended.
	changes *os.File
	size    int64
}

// savedView is the JSON content of one saved view.
type savedView struct {
	Zone structs.ZoneID
	View structs.ZoneView
}

// encodeView encodes a saved view as a line with header and checksum, and a line of
// JSON.
func encodeView(saved savedView) ([]byte, error) {
	content, err := json.Marshal(saved)
	if err != nil {
		return nil, errors.Wrap(err, "encode the view")
	}
	return fmt.Appendf(nil, "%s %016x\n%s\n", viewHeader, xxhash.Sum64(content), content), nil
}

// decodeView decodes the first saved view and returns the remaining data. The error is
// of kind invalid if the view is damaged or belongs to another zone.
func decodeView(file []byte, zone structs.ZoneID) (structs.ZoneView, []byte, error) {
	header, rest, _ := bytes.Cut(file, []byte("\n"))
	content, rest, ended := bytes.Cut(rest, []byte("\n"))
	if !ended || string(header) != fmt.Sprintf("%s %016x", viewHeader, xxhash.Sum64(content)) {
		return structs.ZoneView{}, nil, structs.NewError(structs.ErrorInvalid, "the saved view is damaged or of another version",
			"No action is needed: the view is read again from a controller.")
	}
	var saved savedView
	if err := json.Unmarshal(content, &saved); err != nil {
		return structs.ZoneView{}, nil, errors.Wrap(err, "decode the saved view")
	}
	if saved.Zone != zone {
		return structs.ZoneView{}, nil, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("the saved view is of zone %s and not of %s", saved.Zone, zone),
			"Give each daemon a data folder of its own, or delete "+viewBaseFile+" from this one.")
	}
	return saved.View, rest, nil
}

// load returns the saved view and the changes after it, in order, or nothing if none
// was saved. If the whole view cannot be read, it returns only an error; if the change
// file is torn, it returns the views before the damage and an error.
func (s *viewStore) load() ([]structs.ZoneView, error) {
	file, err := os.ReadFile(s.basePath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the saved view")
	}
	base, _, err := decodeView(file, s.zone)
	if err != nil {
		return nil, err
	}
	views := []structs.ZoneView{base}
	rest, err := os.ReadFile(s.changesPath)
	if errors.Is(err, fs.ErrNotExist) {
		return views, nil
	}
	for err == nil && len(rest) > 0 {
		var view structs.ZoneView
		view, rest, err = decodeView(rest, s.zone)
		if err == nil {
			views = append(views, view)
		}
	}
	return views, err
}

// replace saves the whole view and truncates the change file. If it fails in between,
// the remaining changes are older than the view and have no effect.
func (s *viewStore) replace(view structs.ZoneView) error {
	s.close()
	file, err := encodeView(savedView{s.zone, view})
	if err != nil {
		return err
	}
	if err := keys.WriteFile(s.basePath, file); err != nil {
		return err
	}
	if err := keys.WriteFile(s.changesPath, nil); err != nil {
		return err
	}
	changes, err := os.OpenFile(s.changesPath, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrap(err, "open the change file")
	}
	s.changes = changes
	s.size = 0
	return nil
}

// append appends a change of the view and, if synced is set, syncs the file. After an
// error the whole view must be saved before the next append.
func (s *viewStore) append(view structs.ZoneView, synced bool) error {
	line, err := encodeView(savedView{s.zone, view})
	if err != nil {
		return err
	}
	written, err := s.changes.Write(line)
	s.size += int64(written)
	if err == nil && synced {
		err = s.changes.Sync()
	}
	if err != nil {
		s.close()
		return errors.Wrap(err, "append a change of the view")
	}
	return nil
}

// isDue reports whether the whole view must be saved before the next append.
func (s *viewStore) isDue() bool { return s.changes == nil || s.size > maxChangesBytes }

func (s *viewStore) close() {
	if s.changes != nil {
		_ = s.changes.Close()
		s.changes = nil
	}
}
