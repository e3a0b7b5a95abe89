package router

import (
	"maps"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// ViewCopy is the full view of a zone, for storage on disk: the table of a Core, and the
// placement accumulated from views. It is not safe for concurrent use.
type ViewCopy struct {
	core     *Core
	index    uint64
	epoch    structs.Epoch
	runners  map[structs.RunnerID]structs.RunnerInfo
	replicas map[structs.RunnerID][]structs.Replica
}

// NewViewCopy returns an empty copy for a Core without a view.
func NewViewCopy(core *Core) *ViewCopy {
	return &ViewCopy{
		core:     core,
		runners:  map[structs.RunnerID]structs.RunnerInfo{},
		replicas: map[structs.RunnerID][]structs.Replica{},
	}
}

// Adopt applies the placement of a view by the rules of Core: views that are older or not
// contiguous are ignored. The table is read from the Core.
func (v *ViewCopy) Adopt(view structs.ZoneView) {
	if view.Replaced(v.epoch) {
		return
	}
	if view.RestoredSince(v.epoch) {
		v.index = 0
	}
	v.epoch = max(v.epoch, view.Epoch)
	placed := view.Placement != nil && !view.Placement.Partial
	if view.Index >= v.index && (placed || view.SinceIndex <= v.index) {
		v.index = view.Index
		v.adoptPlacement(view.Placement)
	}
}

func (v *ViewCopy) adoptPlacement(placement *structs.Placement) {
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

// Index returns the log index of the zone that the view reflects, or 0.
func (v *ViewCopy) Index() uint64 { return v.index }

// View returns the full view in a deterministic order.
func (v *ViewCopy) View() structs.ZoneView {
	placement := &structs.Placement{}
	for _, id := range slices.Sorted(maps.Keys(v.runners)) {
		placement.Runners = append(placement.Runners, v.runners[id])
		placement.Replicas = append(placement.Replicas, v.replicas[id]...)
	}
	return structs.ZoneView{Index: v.index, Epoch: v.epoch, Table: v.core.Table(), Placement: placement}
}
