package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/keys"
	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// viewCacheFile is the cache's name in the data folder.
	viewCacheFile = "view.cache"
	// viewCacheHeader stands before the checksum of the cache's content.
	viewCacheHeader = "lotusferry-view-1"
	// viewSaveInterval is the shortest time between two savings: a table of 58,000
	// rows is some 12 MB, and a zone's placement changes all the time.
	viewSaveInterval = 5 * time.Second
)

// viewCache is the whole view of a zone: the table as the router's core has it, and
// the placement, put together from the changes that came. It is saved, so that a
// router that starts while no controller of its zone answers serves by its last
// view. It is guarded by the router's mutex.
type viewCache struct {
	core     *router.Core
	index    uint64
	runners  map[structs.RunnerID]structs.RunnerInfo
	replicas map[structs.RunnerID][]structs.Replica
	changed  bool
}

func newViewCache(core *router.Core) *viewCache {
	return &viewCache{
		core:     core,
		runners:  map[structs.RunnerID]structs.RunnerInfo{},
		replicas: map[structs.RunnerID][]structs.Replica{},
	}
}

// adopt takes the placement of a view by the rules of router.Core, which takes the
// table: what is older, or does not join on to what is known, changes nothing.
func (v *viewCache) adopt(view structs.ZoneView) {
	placed := view.Placement != nil && !view.Placement.Partial
	if view.Index >= v.index && (placed || view.SinceIndex <= v.index) {
		v.index = view.Index
		v.adoptPlacement(view.Placement)
	}
	v.changed = true
}

func (v *viewCache) adoptPlacement(placement *structs.Placement) {
	if placement == nil {
		return
	}
	if !placement.Partial {
		clear(v.runners)
		clear(v.replicas)
	}
	for _, runner := range placement.Runners {
		v.runners[runner.ID] = runner
		delete(v.replicas, runner.ID)
	}
	for _, replica := range placement.Replicas {
		v.replicas[replica.Runner] = append(v.replicas[replica.Runner], replica)
	}
}

// view returns the whole view, in order.
func (v *viewCache) view() structs.ZoneView {
	placement := &structs.Placement{}
	for _, id := range slices.Sorted(maps.Keys(v.runners)) {
		placement.Runners = append(placement.Runners, v.runners[id])
		placement.Replicas = append(placement.Replicas, v.replicas[id]...)
	}
	return structs.ZoneView{Index: v.index, Table: v.core.Table(), Placement: placement}
}

// savedView is the content of the cache's file.
type savedView struct {
	Zone structs.ZoneID
	View structs.ZoneView
}

// encodeView returns the file of a view: a line with header and checksum, and JSON.
func encodeView(saved savedView) ([]byte, error) {
	content, err := json.Marshal(saved)
	if err != nil {
		return nil, errors.Wrap(err, "encode the view")
	}
	return fmt.Appendf(nil, "%s %016x\n%s", viewCacheHeader, xxhash.Sum64(content), content), nil
}

// decodeView reads the file of a view. Its error has the kind invalid when the
// file is damaged or of another zone.
func decodeView(file []byte, zone structs.ZoneID) (structs.ZoneView, error) {
	header, content, _ := bytes.Cut(file, []byte("\n"))
	if string(header) != fmt.Sprintf("%s %016x", viewCacheHeader, xxhash.Sum64(content)) {
		return structs.ZoneView{}, structs.NewError(structs.ErrorInvalid, "the saved view is damaged or of another version",
			"delete "+viewCacheFile+" in the data folder: the view is read again from a controller")
	}
	var saved savedView
	if err := json.Unmarshal(content, &saved); err != nil {
		return structs.ZoneView{}, errors.Wrap(err, "decode the saved view")
	}
	if saved.Zone != zone {
		return structs.ZoneView{}, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("the saved view is of zone %s and not of %s", saved.Zone, zone),
			"give each daemon a data folder of its own, or delete "+viewCacheFile)
	}
	return saved.View, nil
}

// loadView begins with the view that was saved, if there is a sound one.
func (r *requestRouter) loadView() {
	file, err := os.ReadFile(r.viewPath)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var view structs.ZoneView
	if err == nil {
		view, err = decodeView(file, r.zone)
	}
	if err != nil {
		level.Warn(r.logger).Log("msg", "The saved view is not used.", "file", r.viewPath, "err", err)
		return
	}
	r.adoptView(view)
	level.Info(r.logger).Log("msg", "The router begins with its saved view.", "table_revision", view.Table.Revision, "index", view.Index)
}

// saveLoop saves the view when it has changed, and once more at the end.
func (r *requestRouter) saveLoop(ctx context.Context) {
	for {
		changed := r.viewChanged.wait()
		r.saveView()
		if !pause(ctx, viewSaveInterval) {
			break
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	r.saveView()
}

func (r *requestRouter) saveView() {
	r.mutex.Lock()
	changed := r.view.changed && r.viewed
	r.view.changed = false
	saved := savedView{Zone: r.zone}
	if changed {
		saved.View = r.view.view()
	}
	r.mutex.Unlock()
	if !changed {
		return
	}
	file, err := encodeView(saved)
	if err == nil {
		err = keys.WriteFile(r.viewPath, file)
	}
	if err != nil {
		level.Warn(r.logger).Log("msg", "The view could not be saved.", "file", r.viewPath, "err", err)
	}
}

// notViewed refuses a request to a router that knows no table yet.
func notViewed() structs.Refusal {
	refusal := structs.Refusal{
		Error: *structs.NewError(structs.ErrorUnavailable, "this router has not read its zone's table yet",
			"Send the request to another router, or come back after the time given."),
		Execution: structs.ExecutionNotRun,
	}
	refusal.Error.RetryAfter = router.MinimumRetryAfter
	return refusal
}
