package table

import (
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// EditResultRetention is how many edit IDs keep their first answer. An edit
	// resent later is judged again: its BaseRevisions are then older than the rows
	// it changed, so it conflicts. (A creation resent after that many edits finds
	// its row free again if the row was deleted meanwhile.)
	EditResultRetention = 50_000
	// HistoryRetention is how many accepted edits the history lists.
	HistoryRetention = 50_000
	// TombstoneRetention is about how many deleted rows are remembered for deltas.
	// Deleted rows that zones still hold replicas of are kept beside them.
	TombstoneRetention = 20_000
	// tombstonePruneBatch is how many more tombstones gather before the oldest go.
	tombstonePruneBatch = TombstoneRetention / 8
)

// State is the state of the global group. New makes an empty one.
type State struct {
	revision uint64
	// next is the revision that the command being applied gives to its changes.
	next    uint64
	rows    map[structs.RowName]*rowState
	changes changeList
	// tombstones counts the deleted rows in rows; pruneAt is the count at which
	// the oldest are forgotten; floor is the newest revision so forgotten.
	tombstones int
	pruneAt    int
	floor      uint64
	// zones never shrinks: grants refer to zones by their index.
	zones     []*ZoneState
	zoneIndex map[structs.ZoneID]uint16
	zoneRanks []uint64
	history   []structs.HistoryEntry
	answers   answerLog
	// shares is scratch space of regrant.
	shares []share
}

// ZoneState is what the global group knows of a zone.
type ZoneState struct {
	Zone structs.ZoneID
	// Weight is the zone's share of limits that no zone wishes.
	Weight int
	// Removed zones get no limits; what they hold stays counted.
	Removed bool
	// InForce is the newest table revision that the zone reported as adopted.
	InForce uint64
}

// New returns an empty state at revision 0.
func New() *State {
	return &State{
		rows:      make(map[structs.RowName]*rowState),
		zoneIndex: make(map[structs.ZoneID]uint16),
		pruneAt:   TombstoneRetention + tombstonePruneBatch,
		answers:   newAnswerLog(),
	}
}

// Apply applies one committed command. A command that is refused changes nothing
// but, for an edit, the record of its answer.
func (s *State) Apply(command Command) Result {
	if refusal := command.check(); refusal != nil {
		return Result{Error: refusal}
	}
	s.next = s.revision + 1
	switch {
	case command.Edit != nil:
		return s.applyEdit(*command.Edit)
	case command.Release != nil:
		return Result{Error: s.applyRelease(*command.Release)}
	case command.Wish != nil:
		return Result{Error: s.applyWishes(*command.Wish)}
	case command.Zone != nil:
		return Result{Error: s.applyZone(*command.Zone)}
	default:
		return Result{Error: s.applyInForce(*command.InForce)}
	}
}

// Revision returns the table revision.
func (s *State) Revision() uint64 { return s.revision }

// Rows returns all rows, sorted by name.
func (s *State) Rows() []structs.Row {
	rows := make([]structs.Row, 0, len(s.rows)-s.tombstones)
	for _, state := range s.rows {
		if !state.deleted {
			rows = append(rows, state.row)
		}
	}
	slices.SortFunc(rows, func(a, b structs.Row) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return rows
}

// Row returns the named row and whether it is in the table.
func (s *State) Row(name structs.RowName) (structs.Row, bool) {
	state := s.rows[name]
	if state == nil || state.deleted {
		return structs.Row{}, false
	}
	return state.row, true
}

// History returns the newest accepted edits, newest first, at most limit of them;
// a limit of 0 or less means all that are kept. The entries are shared: they must
// not be changed.
func (s *State) History(limit int) []structs.HistoryEntry {
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	newest := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(newest)
	return newest
}

// Grants returns the row's grants that are not all zero, sorted by zone. For a
// deleted row it returns what zones still hold.
func (s *State) Grants(name structs.RowName) []structs.Grant {
	state := s.rows[name]
	if state == nil {
		return nil
	}
	var grants []structs.Grant
	for _, grant := range state.grants {
		if grant.limit > 0 || grant.held > 0 {
			grants = append(grants, s.export(state, grant))
		}
	}
	slices.SortFunc(grants, func(a, b structs.Grant) int {
		return strings.Compare(string(a.Zone), string(b.Zone))
	})
	return grants
}

// Zones returns all zones, removed ones among them, sorted by name.
func (s *State) Zones() []ZoneState {
	zones := make([]ZoneState, 0, len(s.zones))
	for _, zone := range s.zones {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b ZoneState) int {
		return strings.Compare(string(a.Zone), string(b.Zone))
	})
	return zones
}

func (s *State) export(state *rowState, grant grantState) structs.Grant {
	return structs.Grant{
		Row:      state.row.Name,
		Zone:     s.zones[grant.zone].Zone,
		Limit:    int(grant.limit),
		Held:     int(grant.held),
		Minimum:  int(state.minimums[grant.zone]),
		Frozen:   state.isFrozen() && grant.limit > 0,
		Sequence: grant.sequence,
	}
}
