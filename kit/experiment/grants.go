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

// wish is what a zone last told the global group of a row.
type wish struct {
	wanted int
	at     time.Time
}

// wish sends the wishes that changed or are due again.
func (z *zoneWorld) wish(wanted []scheduler.RowWanted) {
	now := z.world.clock.now
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
		z.wishes[row.Row] = wish{row.Replicas, now}
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
	z.tellTable(table.Command{Wish: &table.WishCommand{Zone: z.id, Wishes: changed}})
}

// tellTable sends a command to the global group, unless the zone is cut off.
func (z *zoneWorld) tellTable(command table.Command) {
	if z.cutOff {
		return
	}
	before := z.world.table.Revision()
	z.world.table.Apply(command)
	if z.world.table.Revision() != before {
		z.world.spreadGrants()
	}
}

// spreadGrants lets all zones adopt the table's changes a moment later.
func (w *world) spreadGrants() {
	for _, z := range w.zones {
		if z.adopting || z.cutOff {
			continue
		}
		z.adopting = true
		w.clock.after(grantDelay, z.adopt)
	}
}

func (z *zoneWorld) adopt() {
	z.adopting = false
	if z.cutOff {
		return
	}
	delta := z.world.table.Delta(z.id, z.state.TableRevision())
	result := z.apply(zone.Command{Adopt: &delta})
	if result.Error != nil {
		z.world.checker.fail("table", "zone %s cannot adopt: %v", z.id, result.Error)
	}
	z.wake(demandDelay)
}

// release gives back lowered grants that the zone is down to.
func (z *zoneWorld) release() {
	for _, grant := range z.state.LoweredGrants() {
		if z.state.CountOf(grant.Row) <= grant.Limit {
			z.tellTable(table.Command{Release: &structs.GrantRelease{
				Row: grant.Row, Zone: z.id, Sequence: grant.Sequence, Limit: grant.Limit,
			}})
		}
	}
}

// rejoin ends a zone's time without the global group.
func (z *zoneWorld) rejoin() {
	z.cutOff = false
	clear(z.wishes)
	z.adopt()
}
