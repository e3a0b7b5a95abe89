package table

import (
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// EditResultRetention is the number of edit IDs whose results are recorded. An
	// edit resent later is checked again and conflicts, because its BaseRevisions are
	// outdated. The exception is a creation whose row was deleted meanwhile, which is
	// applied again.
	EditResultRetention = 50_000
	// HistoryRetention is the maximum number of edits in the history.
	HistoryRetention = 50_000
	// TombstoneRetention is the approximate number of deleted rows kept for deltas.
	// Deleted rows of which zones still hold replicas are kept in addition.
	TombstoneRetention = 20_000
	// tombstonePruneBatch is the number of surplus tombstones that triggers pruning.
	tombstonePruneBatch = TombstoneRetention / 8
)

// State is the state of the global group. Use New to create one.
type State struct {
	revision uint64
	// next is the revision of the changes of the command being applied.
	next    uint64
	rows    map[structs.RowName]*rowState
	changes changeList
	// tombstones counts the deleted rows in rows; pruneAt is the count at which the
	// oldest are pruned; floor is the newest revision of a pruned tombstone.
	tombstones int
	pruneAt    int
	floor      uint64
	// zones never shrinks: grants refer to zones by their index.
	zones     []*ZoneState
	zoneIndex map[structs.ZoneID]uint16
	zoneRanks []uint64
	history   []structs.HistoryEntry
	answers   answerLog
	// shares is scratch space of sharesOf.
	shares []share
}

// ZoneState is a zone as known to the global group.
type ZoneState struct {
	Zone structs.ZoneID
	// Weight is the zone's relative share of limits that no zone wishes for.
	Weight int
	// Removed zones get no limits, but the replicas that they hold are counted.
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

// Apply applies one committed command. A rejected command changes nothing, except that
// the result of a rejected edit is recorded.
func (s *State) Apply(command Command) Result {
	if rejection := command.check(); rejection != nil {
		return Result{Error: rejection}
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

// History returns up to limit accepted edits, newest first, or all recorded edits if
// limit is 0 or less. The entries are shared and must not be modified.
func (s *State) History(limit int) []structs.HistoryEntry {
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	newest := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(newest)
	return newest
}

// Grants returns the row's nonzero grants, sorted by zone. For a deleted row, these are
// the replicas that zones still hold.
func (s *State) Grants(name structs.RowName) []structs.Grant {
	state := s.rows[name]
	if state == nil {
		return nil
	}
	var grants []structs.Grant
	for _, grant := range state.grants {
		if grant.limit > 0 || grant.held > 0 {
			grants = append(grants, s.exportGrant(state, grant))
		}
	}
	slices.SortFunc(grants, func(a, b structs.Grant) int {
		return strings.Compare(string(a.Zone), string(b.Zone))
	})
	return grants
}

// Zones returns all zones, including removed ones, sorted by name.
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

func (s *State) exportGrant(state *rowState, grant grantState) structs.Grant {
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
