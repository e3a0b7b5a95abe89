package zone

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MaxPartChanges is the maximum number of rows, deletions, grants and zone lists
	// in one log entry that adopts a table, about 1 MB in all.
	MaxPartChanges = 8192
	// maxParts is the maximum number of parts of a delta.
	maxParts = 4096
)

// AdoptPartCommand carries a part of a delta that is too large for one log entry. The
// last part adopts the whole delta atomically. A part that is out of sequence is
// rejected, and the delta must be sent again from its first part.
type AdoptPartCommand struct {
	// Part is the index of the part, from 0 to Parts-1.
	Part  int
	Parts int
	// Delta contains the revisions of the whole delta and this part's changes.
	Delta structs.TableDelta
}

// stagedDelta holds the parts of an incomplete delta.
type stagedDelta struct {
	delta structs.TableDelta
	parts int
	next  int
}

// AdoptCommands returns the commands that adopt the delta, each with at most the given
// number of changes: one Adopt command, or AdoptPart commands in order.
func AdoptCommands(delta structs.TableDelta, changes int) []Command {
	if countChanges(delta) <= changes {
		return []Command{{Adopt: &delta}}
	}
	var parts []structs.TableDelta
	for rest := delta; countChanges(rest) > 0; {
		part := structs.TableDelta{SinceRevision: delta.SinceRevision, Revision: delta.Revision, Full: delta.Full}
		room := changes
		part.Rows, rest.Rows = takeChanges(rest.Rows, &room)
		part.Deleted, rest.Deleted = takeChanges(rest.Deleted, &room)
		part.Grants, rest.Grants = takeChanges(rest.Grants, &room)
		part.Elsewhere, rest.Elsewhere = takeChanges(rest.Elsewhere, &room)
		parts = append(parts, part)
	}
	commands := make([]Command, 0, len(parts))
	for number, part := range parts {
		commands = append(commands, Command{AdoptPart: &AdoptPartCommand{Part: number, Parts: len(parts), Delta: part}})
	}
	return commands
}

func countChanges(delta structs.TableDelta) int {
	return len(delta.Rows) + len(delta.Deleted) + len(delta.Grants) + len(delta.Elsewhere)
}

// takeChanges splits the list after at most *room changes and reduces *room by them.
func takeChanges[T any](list []T, room *int) (taken, rest []T) {
	count := min(*room, len(list))
	*room -= count
	return list[:count:count], list[count:]
}

// adoptPart stages a part of a delta and adopts the delta with its last part.
func (t *adoptedTable) adoptPart(zone structs.ZoneID, command *AdoptPartCommand) *structs.Error {
	delta := &command.Delta
	if problem := checkDelta(zone, delta); problem != nil {
		return problem
	}
	if command.Parts < 1 || command.Parts > maxParts || command.Part < 0 || command.Part >= command.Parts {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("part %d of %d of a table delta is out of range", command.Part, command.Parts),
			"Count the parts from 0.")
	}
	if delta.Revision <= t.revision {
		return nil
	}
	if command.Part == 0 {
		t.staged = &stagedDelta{parts: command.Parts, delta: structs.TableDelta{
			SinceRevision: delta.SinceRevision, Revision: delta.Revision, Full: delta.Full,
		}}
	}
	if !t.staged.isFollowedBy(command) {
		return structs.NewError(structs.ErrorConflict, "the part does not follow the one before",
			"Adopt the delta again from its first part.")
	}
	t.staged.add(delta)
	if t.staged.next < t.staged.parts {
		return nil
	}
	whole := t.staged.delta
	t.staged = nil
	return t.adopt(zone, &whole)
}

func (s *stagedDelta) isFollowedBy(command *AdoptPartCommand) bool {
	return s != nil && s.next == command.Part && s.parts == command.Parts &&
		s.delta.Revision == command.Delta.Revision && s.delta.SinceRevision == command.Delta.SinceRevision &&
		s.delta.Full == command.Delta.Full
}

func (s *stagedDelta) add(delta *structs.TableDelta) {
	s.delta.Rows = append(s.delta.Rows, delta.Rows...)
	s.delta.Deleted = append(s.delta.Deleted, delta.Deleted...)
	s.delta.Grants = append(s.delta.Grants, delta.Grants...)
	s.delta.Elsewhere = append(s.delta.Elsewhere, delta.Elsewhere...)
	s.next++
}

// dropStaged discards a staged delta that is not newer than the table.
func (t *adoptedTable) dropStaged() {
	if t.staged != nil && t.staged.delta.Revision <= t.revision {
		t.staged = nil
	}
}

// snapshotStaged is a stagedDelta in a snapshot.
type snapshotStaged struct {
	Delta structs.TableDelta
	Parts int
	Next  int
}

func (t *adoptedTable) snapshotStaged() *snapshotStaged {
	if t.staged == nil {
		return nil
	}
	return &snapshotStaged{Delta: t.staged.delta, Parts: t.staged.parts, Next: t.staged.next}
}

func (t *adoptedTable) restoreStaged(zone structs.ZoneID, saved *snapshotStaged) error {
	if saved == nil {
		return nil
	}
	isSound := saved.Parts <= maxParts && saved.Next > 0 && saved.Next < saved.Parts && saved.Delta.Revision > t.revision
	if !isSound || checkDelta(zone, &saved.Delta) != nil {
		return corrupt("the zone snapshot has invalid parts of a table")
	}
	t.staged = &stagedDelta{delta: saved.Delta, parts: saved.Parts, next: saved.Next}
	return nil
}
