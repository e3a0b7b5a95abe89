package table

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// MaxZoneWeight is the maximum weight of a zone.
	MaxZoneWeight = 1000
	// MaxZones is the maximum number of zones, including removed ones.
	MaxZones = 1000
)

// applyZone adds, changes or removes a zone and splits every row's limit again, unless
// nothing changes.
func (s *State) applyZone(command ZoneCommand) *structs.Error {
	index, isKnown := s.zoneIndex[command.Zone]
	if command.Remove {
		if !isKnown {
			return unknownZone(command.Zone)
		}
		s.removeZone(index, command.Force)
		return nil
	}
	if rejection := s.checkZone(command, isKnown); rejection != nil {
		return rejection
	}
	if !isKnown {
		index = s.addZone(ZoneState{Zone: command.Zone, Removed: true})
	}
	zone := s.zones[index]
	if !zone.Removed && zone.Weight == command.Weight {
		return nil
	}
	zone.Removed = false
	zone.Weight = command.Weight
	s.reallocateAll()
	return nil
}

func (s *State) checkZone(command ZoneCommand, isKnown bool) *structs.Error {
	if problem := nameProblem(string(command.Zone)); problem != "" {
		return structs.NewError(structs.ErrorInvalid, fmt.Sprintf("zone name %q %s", command.Zone, problem),
			"Choose a name of letters, digits and dashes.")
	}
	if command.Weight < 1 || command.Weight > MaxZoneWeight {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("zone %q has the weight %d", command.Zone, command.Weight),
			fmt.Sprintf("Choose a weight from 1 to %d.", MaxZoneWeight))
	}
	if !isKnown && len(s.zones) >= MaxZones {
		return structs.NewError(structs.ErrorLimit, fmt.Sprintf("there are already %d zones", len(s.zones)),
			"Use the name of a removed zone again.")
	}
	return nil
}

func (s *State) addZone(zone ZoneState) uint16 {
	index := uint16(len(s.zones))
	s.zones = append(s.zones, &zone)
	s.zoneRanks = append(s.zoneRanks, xxhash.Sum64String(string(zone.Zone)))
	s.zoneIndex[zone.Zone] = index
	return index
}

// removeZone removes the zone's limits and wishes, with force also its held replicas,
// and splits the limits of all rows over the remaining zones.
func (s *State) removeZone(index uint16, force bool) {
	zone := s.zones[index]
	if zone.Removed && !force {
		return
	}
	zone.Removed = true
	for _, row := range s.allRows() {
		if position, found := row.findGrant(index); found {
			grant := &row.grants[position]
			grant.wish = 0
			if force {
				s.setGrant(row, grant, 0, 0)
				s.updateFrozen(row)
			}
		}
	}
	s.reallocateAll()
}

// allRows returns all rows and tombstones in the order of their last change. The slice
// is a copy, because changing a row moves it in the list of changes.
func (s *State) allRows() []*rowState {
	rows := make([]*rowState, 0, len(s.rows))
	for row := s.changes.oldest; row != nil; row = row.next {
		rows = append(rows, row)
	}
	return rows
}

// activeZone returns the index of a zone, or ErrorNotFound if it is unknown or removed.
func (s *State) activeZone(zone structs.ZoneID) (uint16, *structs.Error) {
	index, isKnown := s.zoneIndex[zone]
	if !isKnown || s.zones[index].Removed {
		return 0, unknownZone(zone)
	}
	return index, nil
}

func unknownZone(zone structs.ZoneID) *structs.Error {
	return structs.NewError(structs.ErrorNotFound, fmt.Sprintf("zone %q is not in the table", zone),
		"Add the zone first, or correct its name.")
}

// applyWishes records a zone's wishes and splits the limits of the named rows. An
// invalid wish rejects the whole command.
func (s *State) applyWishes(command WishCommand) *structs.Error {
	index, rejection := s.activeZone(command.Zone)
	if rejection != nil {
		return rejection
	}
	for _, wish := range command.Wishes {
		if rejection := checkWish(command.Zone, wish); rejection != nil {
			return rejection
		}
	}
	for _, wish := range command.Wishes {
		s.setWish(index, wish)
	}
	for _, wish := range command.Wishes {
		if row := s.rows[wish.Row]; row != nil && !row.deleted {
			s.reallocate(row, false)
		}
	}
	return nil
}

// setWish records a wish, replacing an earlier one for the row.
func (s *State) setWish(zone uint16, wish structs.GrantWish) {
	row := s.rows[wish.Row]
	if row == nil || row.deleted {
		return
	}
	if _, found := row.findGrant(zone); !found && wish.Wanted == 0 {
		return
	}
	row.grant(zone).wish = uint16(wish.Wanted)
}

func checkWish(zone structs.ZoneID, wish structs.GrantWish) *structs.Error {
	if wish.Zone != "" && wish.Zone != zone {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("zone %q sent a wish of zone %q", zone, wish.Zone),
			"Send each zone's wishes in a command of its own.")
	}
	if wish.Wanted < 0 || wish.Wanted > MaxReplicasLimit {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("zone %q wishes %d replicas of row %q", zone, wish.Wanted, wish.Row),
			fmt.Sprintf("Wish for 0 to %d replicas.", MaxReplicasLimit))
	}
	return nil
}

// applyInForce raises the recorded revision that a zone has adopted.
func (s *State) applyInForce(command InForceCommand) *structs.Error {
	index, rejection := s.activeZone(command.Zone)
	if rejection != nil {
		return rejection
	}
	if command.Revision > s.revision {
		return structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("zone %q reports revision %d, the table is at %d", command.Zone, command.Revision, s.revision),
			"Report only revisions that came from the table.")
	}
	zone := s.zones[index]
	zone.InForce = max(zone.InForce, command.Revision)
	return nil
}
