package hollow

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// limitGrace is how long an earlier, higher replica limit may still show in a
// load that was ordered under it.
const limitGrace = 10 * time.Second

// replicaEdge is the beginning (+1) or the end (-1) of a replica.
type replicaEdge struct {
	at     int64
	row    structs.RowName
	change int
}

// replicaTracker follows the records of one engine.
type replicaTracker struct {
	offset  int
	present map[structs.RowName]bool
	edges   []replicaEdge
	ready   int
}

// read takes in what the engine recorded since the last time.
func (t *replicaTracker) read(node *runnerNode) {
	changes := node.engine.Records().ReplicaChanges
	for _, change := range changes[t.offset:] {
		t.note(change.At, change.Row, change.State)
	}
	t.offset = len(changes)
}

func (t *replicaTracker) note(at time.Time, row structs.RowName, state structs.ReplicaState) {
	if state == structs.ReplicaReady {
		t.ready++
	}
	now := state != structs.ReplicaAbsent
	if now == t.present[row] {
		return
	}
	if t.present == nil {
		t.present = map[structs.RowName]bool{}
	}
	change := 1
	if now {
		t.present[row] = true
	} else {
		change = -1
		delete(t.present, row)
	}
	t.edges = append(t.edges, replicaEdge{int64(at.Sub(epochStart)), row, change})
}

// clear ends all replicas, because the engine died.
func (t *replicaTracker) clear(at time.Time) {
	for row := range t.present {
		t.edges = append(t.edges, replicaEdge{int64(at.Sub(epochStart)), row, -1})
	}
	t.present = nil
}

// checkLimits counts each row's replicas over the whole site and compares every
// beginning of one with the limits that edits had set.
func checkLimits(edges []replicaEdge, history map[structs.RowName][]limitChange) []Violation {
	slices.SortStableFunc(edges, func(a, b replicaEdge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change), cmp.Compare(a.row, b.row))
	})
	var violations []Violation
	counts := map[structs.RowName]int{}
	for _, edge := range edges {
		counts[edge.row] += edge.change
		if edge.change < 0 {
			continue
		}
		if limit := highestLimit(history[edge.row], edge.at); counts[edge.row] > limit {
			violations = append(violations, Violation{"replicas", fmt.Sprintf("%s has %d replicas, its limit is %d", edge.row, counts[edge.row], limit)})
		}
	}
	return violations
}

// highestLimit is the highest limit that held at the time or within limitGrace before.
func highestLimit(history []limitChange, at int64) int {
	highest := 0
	for index, change := range history {
		if change.at > at {
			break
		}
		isOver := index+1 < len(history) && history[index+1].at < at-int64(limitGrace)
		if !isOver {
			highest = max(highest, change.limit)
		}
	}
	return highest
}

// checkMemory looks for engines that were asked to hold more than fits, or did.
func checkMemory(runner structs.RunnerID, capacity, peak int64, refused int) []Violation {
	var violations []Violation
	if peak > capacity {
		violations = append(violations, Violation{"memory", fmt.Sprintf("%s held %d bytes of %d", runner, peak, capacity)})
	}
	if refused > 0 {
		violations = append(violations, Violation{"memory", fmt.Sprintf("%s was ordered %d times to load more than fits", runner, refused)})
	}
	return violations
}

// expectedRows is what the accepted edits leave, applied in the order of their revisions.
func expectedRows(edits []*editRecord) map[structs.RowName]structs.Row {
	accepted := slices.DeleteFunc(slices.Clone(edits), func(edit *editRecord) bool { return !edit.accepted })
	slices.SortFunc(accepted, func(a, b *editRecord) int { return cmp.Compare(a.revision, b.revision) })
	rows := map[structs.RowName]structs.Row{}
	for _, edit := range accepted {
		for _, change := range edit.edit.Changes {
			row := change.Row
			row.Revision = edit.revision
			rows[row.Name] = row
		}
	}
	return rows
}

// checkRows compares one member's rows with what the accepted edits leave.
func checkRows(member string, expected map[structs.RowName]structs.Row, lookup func(structs.RowName) (structs.Row, bool)) []Violation {
	wrong := 0
	var example structs.RowName
	for name, row := range expected {
		if found, there := lookup(name); !there || found != row {
			wrong++
			if example == "" || name < example {
				example = name
			}
		}
	}
	if wrong == 0 {
		return nil
	}
	return []Violation{{"edits", fmt.Sprintf("%s has %d rows other than the accepted edits left them, such as %s", member, wrong, example)}}
}

// check runs all checkers at the end of a run.
func (s *site) check() []Violation {
	violations := []Violation{}
	var edges []replicaEdge
	for _, zone := range s.zones {
		violations = append(violations, zone.box.violations...)
		if zone.load.open != 0 {
			violations = append(violations, Violation{"request", fmt.Sprintf("%s: %d requests never ended", zone.id, zone.load.open)})
		}
		for _, node := range zone.runners {
			node.tracker.read(node)
			edges = append(edges, node.tracker.edges...)
			records := node.engine.Records()
			violations = append(violations, checkMemory(node.id, node.engine.Options().MemoryBytes, records.PeakMemory, len(records.Violations))...)
		}
	}
	violations = append(violations, checkLimits(edges, s.operator.history)...)
	return append(violations, s.checkMembers()...)
}

func (s *site) checkMembers() []Violation {
	var violations []Violation
	expected := expectedRows(s.operator.edits)
	for _, owner := range s.globals {
		state := owner.global.table.state
		violations = append(violations, checkRows("global member "+string(owner.id), expected, state.Row)...)
		if err := state.CheckInvariants(); err != nil {
			violations = append(violations, Violation{"table", err.Error()})
		}
	}
	for _, zone := range s.zones {
		for _, owner := range zone.voters {
			state := owner.member.machine.state
			violations = append(violations, checkRows("zone member "+string(owner.id), expected, state.Row)...)
			if err := state.CheckInvariants(); err != nil {
				violations = append(violations, Violation{"zone", err.Error()})
			}
		}
	}
	return violations
}
