package zone

import (
	"github.com/lotusferry/lotusferry/structs"
)

func (s *State) applyReserve(number structs.OrderNumber, command *ReserveCommand) Result {
	row, ok := s.table.rows[command.Row]
	if !ok {
		return limitResult("the table has no such row", "Plan again from the adopted table.")
	}
	if problem := s.checkGrant(row); problem != nil {
		return Result{Error: problem}
	}
	if problem := s.checkRunner(row, command); problem != nil {
		return Result{Error: problem}
	}
	if problem := s.checkBase(row, command.Runner); problem != nil {
		return Result{Error: problem}
	}
	replica := &Replica{
		Replica: structs.Replica{
			Row:         row.Name,
			Runner:      command.Runner,
			Incarnation: command.Incarnation,
			State:       structs.ReplicaLoading,
			MemoryBytes: row.MemoryBytes,
			Order:       number,
			Since:       normalTime(command.At),
		},
		Reserved: number,
	}
	if row.NeedsBase() {
		replica.Base = row.Base
	}
	s.addReplica(replica)
	s.recordPlacementChange(command.Runner, uint64(number))
	return Result{Order: number}
}

func limitResult(message, remedy string) Result {
	return rejected(structs.ErrorLimit, message, remedy)
}

func limitError(message, remedy string) *structs.Error {
	return structs.NewError(structs.ErrorLimit, message, remedy)
}

func (s *State) checkGrant(row structs.Row) *structs.Error {
	grant := s.Grant(row.Name)
	if grant.Frozen {
		return limitError("other zones may still have replicas beyond the row's lowered limit",
			"Wait until they are unloaded, or raise the row's replica limit in the table.")
	}
	if len(s.byRow[row.Name]) < grant.Limit {
		return nil
	}
	return limitError("the zone has as many replicas of the row as it was granted",
		"Unload a replica, or raise the row's replica limit in the table.")
}

func (s *State) checkRunner(row structs.Row, command *ReserveCommand) *structs.Error {
	runner, ok := s.runners[command.Runner]
	if !ok {
		return limitError("the runner is not known", "Register the runner first.")
	}
	if !runner.Accepting() {
		return limitError("the runner is leaving, draining or gone", "Choose another runner.")
	}
	if runner.Incarnation != command.Incarnation {
		return limitError("the runner has another incarnation", "Plan again from the runner's current incarnation.")
	}
	if runner.Role != row.Role {
		return limitError("the runner has another role than the row", "Choose a runner of the row's role.")
	}
	if _, there := s.replicas[placementKey{command.Runner, row.Name}]; there {
		return limitError("the runner has a replica of the row already", "Choose another runner.")
	}
	// Subtracts, because adding to the reserved bytes could overflow.
	if row.MemoryBytes < 0 || row.MemoryBytes > runner.MemoryBytes-s.reserved[command.Runner] {
		return limitError("the runner has too little unreserved memory", "Unload something there, or choose another runner.")
	}
	return nil
}

func (s *State) checkBase(row structs.Row, runner structs.RunnerID) *structs.Error {
	if !row.NeedsBase() {
		return nil
	}
	base, ok := s.replicas[placementKey{runner, row.Base}]
	if ok && base.State != structs.ReplicaUnloading {
		return nil
	}
	return limitError("the adapter's base is not loading or ready on the runner", "Load the base there first.")
}

// find returns the replica of the row on the runner. It returns ErrorNotFound if
// there is none and ErrorConflict if its order number differs.
func (s *State) find(runner structs.RunnerID, row structs.RowName, order structs.OrderNumber) (*Replica, *structs.Error) {
	replica, ok := s.replicas[placementKey{runner, row}]
	if !ok {
		return nil, structs.NewError(structs.ErrorNotFound, "the runner has no replica of the row",
			"Plan again from the current state.")
	}
	if replica.Order != order {
		return nil, structs.NewError(structs.ErrorConflict, "the replica has a newer order",
			"Plan again from the current state.")
	}
	return replica, nil
}

func (s *State) applyTransition(number structs.OrderNumber, command *TransitionCommand) Result {
	replica, problem := s.find(command.Runner, command.Row, command.Order)
	if problem != nil {
		return Result{Error: problem}
	}
	switch {
	case command.To == structs.ReplicaReady && replica.State == structs.ReplicaLoading:
	case command.To == structs.ReplicaUnloading && replica.State != structs.ReplicaUnloading:
		if s.hasAdapters(replica) {
			return limitResult("adapters are on the runner's replica of the base", "Unload the adapters first.")
		}
		replica.Order = number
	default:
		return rejected(structs.ErrorInvalid, "the replica cannot go from "+string(replica.State)+" to "+string(command.To),
			"Plan again from the current state.")
	}
	replica.State = command.To
	replica.Since = normalTime(command.At)
	s.recordPlacementChange(command.Runner, uint64(number))
	return Result{Order: replica.Order}
}

// hasAdapters reports whether the runner has adapter replicas that need the base.
func (s *State) hasAdapters(base *Replica) bool {
	for _, other := range s.byRunner[base.Runner] {
		if other.Base == base.Row {
			return true
		}
	}
	return false
}

func (s *State) applyTouch(number structs.OrderNumber, command *TouchCommand) Result {
	replica, problem := s.find(command.Runner, command.Row, command.Order)
	if problem != nil {
		return Result{Error: problem}
	}
	if replica.State == structs.ReplicaReady {
		return rejected(structs.ErrorInvalid, "a ready replica has no pending order", "Plan again from the current state.")
	}
	replica.Order = number
	s.recordPlacementChange(command.Runner, uint64(number))
	return Result{Order: number}
}

func (s *State) applyRemove(index uint64, command *RemoveCommand) Result {
	replica, problem := s.find(command.Runner, command.Row, command.Order)
	if problem != nil {
		return Result{Error: problem}
	}
	if replica.State == structs.ReplicaReady {
		return rejected(structs.ErrorInvalid, "a ready replica must be unloaded before it is removed",
			"Move it to unloading first.")
	}
	if s.hasAdapters(replica) {
		return limitResult("adapters are on the runner's replica of the base", "Remove the adapters first.")
	}
	s.removeReplica(command.Runner, command.Row)
	s.recordPlacementChange(command.Runner, index)
	return Result{}
}
