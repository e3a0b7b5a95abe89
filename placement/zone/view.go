package zone

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// View returns the changes for a router that has the table at revision sinceTable and
// the placement at sinceIndex (0 for none). The caller sets Epoch.
func (s *State) View(sinceTable, sinceIndex uint64) structs.ZoneView {
	return structs.ZoneView{
		Index:      s.index,
		SinceIndex: sinceIndex,
		Table:      s.table.since(s.zone, sinceTable),
		Placement:  s.placementSince(sinceIndex),
	}
}

// placementSince returns the runners that changed after the index with all their
// replicas; for index 0, all runners. It returns nil if nothing changed.
func (s *State) placementSince(index uint64) *structs.Placement {
	if index > 0 && index >= s.placementIndex {
		return nil
	}
	placement := &structs.Placement{Partial: index > 0}
	for _, id := range s.runnersChangedSince(index) {
		runner := s.runners[id]
		info := runner.RunnerInfo
		info.Leaving = !runner.Accepting() || runner.Silent
		info.Silent = false
		placement.Runners = append(placement.Runners, info)
		for _, replica := range s.ReplicasOn(id) {
			placement.Replicas = append(placement.Replicas, replica.Replica)
		}
	}
	return placement
}

func (s *State) runnersChangedSince(index uint64) []structs.RunnerID {
	var changed []structs.RunnerID
	for id, last := range s.runnerIndex {
		if last > index {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// recordPlacementChange records that the command at the index changed the runner or a
// replica on it. The index of each runner is used only for views.
func (s *State) recordPlacementChange(runner structs.RunnerID, index uint64) {
	s.placementIndex = index
	s.runnerIndex[runner] = index
}
