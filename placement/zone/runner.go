package zone

import (
	"github.com/lotusferry/lotusferry/structs"
)

func (s *State) applyRunner(index uint64, command *RunnerCommand) Result {
	info := command.Info
	known, ok := s.runners[info.ID]
	if command.Vouch {
		return s.applyVouch(index, known, info.Incarnation)
	}
	if info.ID == "" || info.Zone != s.zone || info.MemoryBytes < 0 {
		return rejected(structs.ErrorInvalid, "the runner has no ID, another zone or negative memory",
			"Register the runner with its ID in its own zone.")
	}
	if !ok {
		s.runners[info.ID] = &Runner{RunnerInfo: info}
		s.recordPlacementChange(info.ID, index)
		return Result{}
	}
	if info.Incarnation < known.Incarnation {
		return rejected(structs.ErrorConflict, "a newer incarnation of the runner is known",
			"Register the runner's current incarnation.")
	}
	if info.Incarnation > known.Incarnation {
		s.removeReplicasOn(info.ID)
		known.Gone = false
		known.clearPrefetch()
	}
	if problem := s.checkUpdate(known, info); problem != nil {
		return Result{Error: problem}
	}
	known.RunnerInfo = info
	s.recordPlacementChange(info.ID, index)
	return Result{}
}

func (s *State) checkUpdate(known *Runner, info structs.RunnerInfo) *structs.Error {
	if info.MemoryBytes < s.reserved[info.ID] {
		return structs.NewError(structs.ErrorLimit, "the runner's memory is less than what is reserved on it",
			"Unload replicas first, or restart the runner.")
	}
	if info.Role != known.Role && len(s.byRunner[info.ID]) > 0 {
		return structs.NewError(structs.ErrorConflict, "the runner still holds replicas of its former role",
			"Unload its replicas before changing its role.")
	}
	return nil
}

func (s *State) applyVouch(index uint64, known *Runner, incarnation structs.Incarnation) Result {
	if known == nil {
		return rejected(structs.ErrorNotFound, "the runner is not known", "Check the runner's ID.")
	}
	if incarnation != known.Incarnation {
		return rejected(structs.ErrorConflict, "the runner's incarnation is not the one confirmed as stopped",
			"Check the runner again and confirm its current incarnation if it has stopped.")
	}
	s.removeReplicasOn(known.ID)
	known.Gone = true
	known.clearPrefetch()
	s.recordPlacementChange(known.ID, index)
	return Result{}
}

func (s *State) applyDrain(index uint64, command *DrainCommand) Result {
	known, ok := s.runners[command.Runner]
	if !ok {
		return rejected(structs.ErrorNotFound, "the runner is not known", "Check the runner's ID.")
	}
	known.Draining = command.Draining
	s.recordPlacementChange(known.ID, index)
	return Result{}
}

func (s *State) applyPrefetch(number structs.OrderNumber, command *PrefetchCommand) Result {
	known, ok := s.runners[command.Runner]
	if !ok || known.Incarnation != command.Incarnation || !known.Accepting() {
		return limitResult("the runner is unknown, not accepting, or of another incarnation", "Choose another runner.")
	}
	if command.Row == "" {
		known.clearPrefetch()
		return Result{}
	}
	if _, ok := s.table.rows[command.Row]; !ok {
		return limitResult("the table has no such row", "Plan again from the adopted table.")
	}
	known.Prefetch = command.Row
	known.PrefetchOrder = number
	return Result{Order: number}
}

func (r *Runner) clearPrefetch() {
	r.Prefetch = ""
	r.PrefetchOrder = 0
}

func (s *State) removeReplicasOn(runner structs.RunnerID) {
	for _, replica := range s.ReplicasOn(runner) {
		s.removeReplica(runner, replica.Row)
	}
}

func (s *State) removeReplica(runner structs.RunnerID, row structs.RowName) {
	key := placementKey{runner, row}
	replica := s.replicas[key]
	s.reserved[runner] -= replica.MemoryBytes
	delete(s.replicas, key)
	delete(s.byRow[row], runner)
	if len(s.byRow[row]) == 0 {
		delete(s.byRow, row)
	}
	delete(s.byRunner[runner], row)
	if len(s.byRunner[runner]) == 0 {
		delete(s.byRunner, runner)
		delete(s.reserved, runner)
	}
}

func (s *State) addReplica(replica *Replica) {
	s.replicas[placementKey{replica.Runner, replica.Row}] = replica
	if s.byRow[replica.Row] == nil {
		s.byRow[replica.Row] = map[structs.RunnerID]*Replica{}
	}
	s.byRow[replica.Row][replica.Runner] = replica
	if s.byRunner[replica.Runner] == nil {
		s.byRunner[replica.Runner] = map[structs.RowName]*Replica{}
	}
	s.byRunner[replica.Runner][replica.Row] = replica
	s.reserved[replica.Runner] += replica.MemoryBytes
}
