package table

import (
	"github.com/pkg/errors"
)

// CheckInvariants returns an error describing the first violated invariant, or nil.
// Its cost is linear in the size of the table; it is used by simulators and for
// restored snapshots.
func (s *State) CheckInvariants() error {
	if err := s.checkRows(); err != nil {
		return err
	}
	if err := s.checkZones(); err != nil {
		return err
	}
	if err := s.checkHistory(); err != nil {
		return err
	}
	return s.checkAnswers()
}

// checkRows checks each row, and that the list of changes is ordered and complete.
func (s *State) checkRows() error {
	listed, tombstones := 0, 0
	dependents := make(map[*rowState]int)
	adapters := make(map[*rowState]int)
	for row := s.changes.oldest; row != nil; row = row.next {
		listed++
		if s.rows[row.row.Name] != row {
			return errors.Errorf("row %q is listed twice or under another name", row.row.Name)
		}
		if row.next != nil && row.next.changed < row.changed {
			return errors.Errorf("row %q is out of order in the list of changes", row.row.Name)
		}
		if row.deleted {
			tombstones++
		} else if row.row.Base != "" {
			base := s.rows[row.row.Base]
			if base == nil || base.deleted {
				return errors.Errorf("row %q has lost its base %q", row.row.Name, row.row.Base)
			}
			dependents[base]++
			if row.row.NeedsBase() {
				adapters[base]++
			}
		}
		if err := s.checkRow(row); err != nil {
			return err
		}
	}
	if listed != len(s.rows) || tombstones != s.tombstones {
		return errors.Errorf("the table counts %d rows and %d deleted ones, the list %d and %d",
			len(s.rows), s.tombstones, listed, tombstones)
	}
	for _, row := range s.rows {
		if row.dependents != dependents[row] {
			return errors.Errorf("row %q counts %d dependents instead of %d", row.row.Name, row.dependents, dependents[row])
		}
		if err := checkAdapters(row, adapters[row]); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) checkRow(row *rowState) error {
	name := row.row.Name
	isOrdered := row.row.Revision >= 1 && row.row.Revision <= row.changed && row.changed <= s.revision
	if !isOrdered || row.zonesChanged > row.changed {
		return errors.Errorf("row %q has a revision beyond its last change or the table's", name)
	}
	if limit := row.maxReplicas(); limit < 0 || limit > MaxReplicasLimit {
		return errors.Errorf("row %q has max_replicas %d", name, limit)
	}
	allowed := max(row.maxReplicas(), row.heldOverLimit)
	if held := row.held(); held > allowed {
		return errors.Errorf("row %q: zones hold %d replicas of %d allowed", name, held, allowed)
	}
	sum := 0
	for i, grant := range row.grants {
		if i > 0 && row.grants[i-1].zone >= grant.zone {
			return errors.Errorf("row %q: grants are out of order", name)
		}
		if grant.limit > grant.held {
			return errors.Errorf("row %q: a zone's limit %d is above the %d it holds", name, grant.limit, grant.held)
		}
		if grant.wish > MaxReplicasLimit {
			return errors.Errorf("row %q: a zone wishes %d", name, grant.wish)
		}
		if grant.sequence > row.changed {
			return errors.Errorf("row %q: a grant's sequence %d is beyond the row's last change %d", name, grant.sequence, row.changed)
		}
		if grant.limit > 0 && s.zones[grant.zone].Removed {
			return errors.Errorf("row %q: a removed zone has the limit %d", name, grant.limit)
		}
		sum += int(grant.limit)
	}
	if sum > row.maxReplicas() {
		return errors.Errorf("row %q: limits sum to %d of %d", name, sum, row.maxReplicas())
	}
	return s.checkServable(row)
}

// checkAdapters checks that the row lists count adapters, sorted by name.
func checkAdapters(row *rowState, count int) error {
	if len(row.adapters) != count {
		return errors.Errorf("row %q lists %d adapters instead of %d", row.row.Name, len(row.adapters), count)
	}
	for i, adapter := range row.adapters {
		isOrdered := i == 0 || row.adapters[i-1].row.Name < adapter.row.Name
		if !isOrdered || adapter.deleted || adapter.row.Base != row.row.Name {
			return errors.Errorf("row %q lists the adapter %q wrongly", row.row.Name, adapter.row.Name)
		}
	}
	return nil
}

// checkServable checks that no zone may load an adapter without its base, and that
// the zones' minimums add up to the row's.
func (s *State) checkServable(row *rowState) error {
	base := s.baseOf(row)
	allowed, kept := 0, 0
	for _, grant := range row.grants {
		if grant.limit > 0 && !s.mayServe(base, grant.zone) {
			return errors.Errorf("row %q: a zone has the limit %d without its base", row.row.Name, grant.limit)
		}
		limit := minimumCap(int(grant.limit), base, grant.zone)
		minimum := int(row.minimums[grant.zone])
		if minimum > limit {
			return errors.Errorf("row %q: a zone is to keep %d replicas and may have %d", row.row.Name, minimum, limit)
		}
		allowed += limit
		kept += minimum
	}
	if want := min(row.minReplicas(), allowed); kept != want {
		return errors.Errorf("row %q: zones are to keep %d replicas instead of %d", row.row.Name, kept, want)
	}
	return nil
}

func (s *State) checkZones() error {
	if len(s.zoneIndex) != len(s.zones) {
		return errors.Errorf("%d zones have %d names", len(s.zones), len(s.zoneIndex))
	}
	for _, zone := range s.zones {
		if zone.InForce > s.revision {
			return errors.Errorf("zone %q has revision %d in force, the table is at %d", zone.Zone, zone.InForce, s.revision)
		}
		if !zone.Removed && (zone.Weight < 1 || zone.Weight > MaxZoneWeight) {
			return errors.Errorf("zone %q has the weight %d", zone.Zone, zone.Weight)
		}
	}
	return nil
}

func (s *State) checkHistory() error {
	if len(s.history) > HistoryRetention {
		return errors.Errorf("the history has %d entries", len(s.history))
	}
	last := uint64(0)
	for i := range s.history {
		revision := s.history[i].Revision
		if revision <= last || revision > s.revision {
			return errors.Errorf("the history has revision %d after %d, the table is at %d", revision, last, s.revision)
		}
		last = revision
	}
	if s.floor > s.revision {
		return errors.Errorf("deletions are forgotten up to %d, the table is at %d", s.floor, s.revision)
	}
	return nil
}

func (s *State) checkAnswers() error {
	if len(s.answers.order) != len(s.answers.byID) || len(s.answers.order) > EditResultRetention {
		return errors.Errorf("%d edit IDs have %d answers", len(s.answers.order), len(s.answers.byID))
	}
	for _, id := range s.answers.order {
		if revision := s.answers.byID[id].result.Revision; revision > s.revision {
			return errors.Errorf("edit %q was answered with revision %d, the table is at %d", id, revision, s.revision)
		}
	}
	return nil
}
