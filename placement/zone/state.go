package zone

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Runner is a runner with the state that the zone group keeps for it.
type Runner struct {
	structs.RunnerInfo
	// Draining is set and cleared by operators.
	Draining bool
	// Gone is set if an operator confirmed that this incarnation has permanently
	// stopped.
	Gone bool
	// Prefetch is the row whose checkpoint the runner was last asked to copy to
	// its disk, under the order PrefetchOrder; empty if there is none.
	Prefetch      structs.RowName
	PrefetchOrder structs.OrderNumber
}

// Accepting reports whether the runner may get new replicas and new work.
func (r Runner) Accepting() bool { return !r.Leaving && !r.Draining && !r.Gone }

// Replica is a replica with the state that the zone group keeps for it.
type Replica struct {
	structs.Replica
	// Base is the row that an adapter's replica needs on the same runner.
	Base structs.RowName
	// Reserved is the index of the command that added the replica. Engine reports
	// with a lower order number refer to an earlier replica.
	Reserved structs.OrderNumber
}

type placementKey struct {
	runner structs.RunnerID
	row    structs.RowName
}

// State is the state of a zone group. It is not safe for concurrent use.
type State struct {
	zone           structs.ZoneID
	index          uint64
	placementIndex uint64
	// recordsIndex is the index of the last command that may have changed runners
	// or replicas.
	recordsIndex uint64
	// runnerIndex maps each runner to the placementIndex of its last change.
	runnerIndex map[structs.RunnerID]uint64
	table       adoptedTable
	runners     map[structs.RunnerID]*Runner
	replicas    map[placementKey]*Replica
	byRow       map[structs.RowName]map[structs.RunnerID]*Replica
	byRunner    map[structs.RunnerID]map[structs.RowName]*Replica
	reserved    map[structs.RunnerID]int64
	claims      claimTable
}

// Result is the result of applying a command.
type Result struct {
	// Error is nil if the command took effect.
	Error *structs.Error
	// Order is the order number that the command recorded, if any.
	Order structs.OrderNumber
	// Claim is the claim on the key of a claim command, if there is one.
	Claim *structs.Claim
	// ClaimNew reports whether the command's own request holds the claim; only then
	// may the request be executed.
	ClaimNew bool
	// Batch contains one result per operation of a ClaimBatchCommand.
	Batch []Result
	// TableRevision is the adopted table revision after the command.
	TableRevision uint64
}

// New returns the empty state of a zone.
func New(zone structs.ZoneID) *State {
	return &State{
		zone:        zone,
		table:       newAdoptedTable(),
		runners:     map[structs.RunnerID]*Runner{},
		runnerIndex: map[structs.RunnerID]uint64{},
		replicas:    map[placementKey]*Replica{},
		byRow:       map[structs.RowName]map[structs.RunnerID]*Replica{},
		byRunner:    map[structs.RunnerID]map[structs.RowName]*Replica{},
		reserved:    map[structs.RunnerID]int64{},
		claims:      newClaimTable(),
	}
}

// Apply applies the command at the given index of the zone log. Indexes at or below
// the last applied one are rejected.
func (s *State) Apply(index uint64, command Command) Result {
	result := s.apply(index, command)
	if index > s.index {
		s.index = index
	}
	result.TableRevision = s.table.revision
	return result
}

func (s *State) apply(index uint64, command Command) Result {
	if index <= s.index {
		return rejected(structs.ErrorInvalid, "the log index was applied before",
			"Apply each entry of the log once, in order.")
	}
	if err := command.check(); err != nil {
		return Result{Error: err.(*structs.Error)}
	}
	number := structs.OrderNumber(index)
	if command.changesPlacement() {
		s.recordsIndex = index
	}
	switch {
	case command.Adopt != nil:
		return Result{Error: s.table.adopt(s.zone, command.Adopt)}
	case command.AdoptPart != nil:
		return Result{Error: s.table.adoptPart(s.zone, command.AdoptPart)}
	case command.Runner != nil:
		return s.applyRunner(index, command.Runner)
	case command.Reserve != nil:
		return s.applyReserve(number, command.Reserve)
	case command.Transition != nil:
		return s.applyTransition(number, command.Transition)
	case command.Touch != nil:
		return s.applyTouch(number, command.Touch)
	case command.Remove != nil:
		return s.applyRemove(index, command.Remove)
	case command.Drain != nil:
		return s.applyDrain(index, command.Drain)
	case command.Prefetch != nil:
		return s.applyPrefetch(number, command.Prefetch)
	case command.ClaimBegin != nil:
		return s.claims.begin(command.ClaimBegin, time.Time{})
	case command.ClaimFinish != nil:
		return s.claims.finish(command.ClaimFinish)
	case command.ClaimBatch != nil:
		return s.claims.batch(command.ClaimBatch)
	default:
		return s.claims.expire(command.ClaimExpire)
	}
}

func rejected(kind structs.ErrorKind, message, remedy string) Result {
	return Result{Error: structs.NewError(kind, message, remedy)}
}

// Zone returns the zone's name.
func (s *State) Zone() structs.ZoneID { return s.zone }

// Index returns the index of the last applied command.
func (s *State) Index() uint64 { return s.index }

// RecordsIndex returns the index of the last command that may have changed the
// results of Runners and Replicas.
func (s *State) RecordsIndex() uint64 { return s.recordsIndex }

// Runner returns the runner, and false if it is not registered.
func (s *State) Runner(id structs.RunnerID) (Runner, bool) {
	runner, ok := s.runners[id]
	if !ok {
		return Runner{}, false
	}
	return *runner, true
}

// Runners returns all runners, ordered by ID.
func (s *State) Runners() []Runner {
	list := make([]Runner, 0, len(s.runners))
	for _, runner := range s.runners {
		list = append(list, *runner)
	}
	slices.SortFunc(list, func(a, b Runner) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Replica returns the replica of the row on the runner, and false if there is none.
func (s *State) Replica(runner structs.RunnerID, row structs.RowName) (Replica, bool) {
	replica, ok := s.replicas[placementKey{runner, row}]
	if !ok {
		return Replica{}, false
	}
	return *replica, true
}

// Replicas returns all replicas, ordered by runner and row.
func (s *State) Replicas() []Replica {
	list := make([]Replica, 0, len(s.replicas))
	for _, replica := range s.replicas {
		list = append(list, *replica)
	}
	sortReplicas(list)
	return list
}

// ReplicasOf returns the replicas of the row, ordered by runner.
func (s *State) ReplicasOf(row structs.RowName) []Replica { return listReplicas(s.byRow[row]) }

// ReplicasOn returns the replicas on the runner, ordered by row.
func (s *State) ReplicasOn(runner structs.RunnerID) []Replica {
	return listReplicas(s.byRunner[runner])
}

func listReplicas[K comparable](records map[K]*Replica) []Replica {
	list := make([]Replica, 0, len(records))
	for _, replica := range records {
		list = append(list, *replica)
	}
	sortReplicas(list)
	return list
}

func sortReplicas(list []Replica) {
	slices.SortFunc(list, func(a, b Replica) int {
		return cmp.Or(cmp.Compare(a.Runner, b.Runner), cmp.Compare(a.Row, b.Row))
	})
}

// MemoryReserved returns the bytes reserved on the runner.
func (s *State) MemoryReserved(runner structs.RunnerID) int64 { return s.reserved[runner] }

// Surplus returns the rows with more replicas than their limit, ordered by row.
func (s *State) Surplus() []structs.RowSurplus {
	var list []structs.RowSurplus
	for row, records := range s.byRow {
		limit := s.Grant(row).Limit
		if len(records) > limit {
			list = append(list, structs.RowSurplus{Row: row, Replicas: len(records), Limit: limit})
		}
	}
	slices.SortFunc(list, func(a, b structs.RowSurplus) int { return cmp.Compare(a.Row, b.Row) })
	return list
}

// CountOf returns the number of replicas of the row, in any state.
func (s *State) CountOf(row structs.RowName) int { return len(s.byRow[row]) }
