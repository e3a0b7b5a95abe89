package experiment

import (
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// sentWish is the number of replicas of a row that a zone last requested from the
// global group.
type sentWish struct {
	wanted int
	at     time.Time
}

// sendWishes sends the wishes that have changed or are due to be repeated.
func (z *simulatedZone) sendWishes(wanted []scheduler.RowWanted) {
	now := z.sim.clock.now
	var changed []structs.GrantWish
	tell := func(row structs.RowName, count int) {
		changed = append(changed, structs.GrantWish{Row: row, Zone: z.id, Wanted: count})
	}
	current := map[structs.RowName]bool{}
	for _, row := range wanted {
		current[row.Row] = true
		last, known := z.wishes[row.Row]
		if known && last.wanted == row.Replicas && now.Sub(last.at) < wishInterval {
			continue
		}
		z.wishes[row.Row] = sentWish{row.Replicas, now}
		tell(row.Row, row.Replicas)
	}
	for _, row := range slices.Sorted(maps.Keys(z.wishes)) {
		if !current[row] {
			delete(z.wishes, row)
			tell(row, 0)
		}
	}
	if len(changed) == 0 {
		return
	}
	z.applyToTable(table.Command{Wish: &table.WishCommand{Zone: z.id, Wishes: changed}})
}

// applyToTable applies a command to the global table, unless the zone is partitioned.
func (z *simulatedZone) applyToTable(command table.Command) {
	if z.partitioned {
		return
	}
	before := z.sim.table.Revision()
	z.sim.table.Apply(command)
	if z.sim.table.Revision() != before {
		z.sim.propagateGrants()
	}
}

// propagateGrants schedules all zones to adopt the table's changes after grantDelay.
func (w *simulation) propagateGrants() {
	for _, z := range w.zones {
		if z.adopting || z.partitioned {
			continue
		}
		z.adopting = true
		w.clock.after(grantDelay, z.adopt)
	}
}

func (z *simulatedZone) adopt() {
	z.adopting = false
	if z.partitioned {
		return
	}
	delta := z.sim.table.Delta(z.id, z.state.TableRevision())
	result := z.apply(zone.Command{Adopt: &delta})
	if result.Error != nil {
		z.sim.checker.fail("table", "zone %s cannot adopt the table's changes: %v", z.id, result.Error)
	}
	z.schedulePlan(demandDelay)
}

// release confirms lowered grants once the zone has no more replicas than the new
// limit.
func (z *simulatedZone) release() {
	for _, grant := range z.state.LoweredGrants() {
		if z.state.CountOf(grant.Row) <= grant.Limit {
			z.applyToTable(table.Command{Release: &structs.GrantRelease{
				Row: grant.Row, Zone: z.id, Sequence: grant.Sequence, Limit: grant.Limit,
			}})
		}
	}
}

// rejoin ends the zone's partition from the global group.
func (z *simulatedZone) rejoin() {
	z.partitioned = false
	clear(z.wishes)
	z.adopt()
}
