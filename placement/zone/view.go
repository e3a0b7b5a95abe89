package zone

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// View returns what changed for a router that has the table at sinceTable and
// the placement as of sinceIndex (0 for none). The caller sets the Epoch.
func (s *State) View(sinceTable, sinceIndex uint64) structs.ZoneView {
	return structs.ZoneView{
		Index:      s.index,
		SinceIndex: sinceIndex,
		Table:      s.table.since(s.zone, sinceTable),
		Placement:  s.placementSince(sinceIndex),
	}
}

// placementSince lists the runners that changed after the index with all of their
// replicas, all runners for index 0, and nil when none changed.
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

// notePlacement remembers that the command at the index changed the runner or a
// replica on it. It serves queries only and is not part of a snapshot: after a
// restore every runner counts as changed at the last such index.
func (s *State) notePlacement(runner structs.RunnerID, index uint64) {
	s.placementIndex = index
	s.runnerIndex[runner] = index
}
