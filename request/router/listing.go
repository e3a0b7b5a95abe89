package router

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// TableRevision returns the revision of the router's table.
func (c *Core) TableRevision() uint64 { return c.tableRevision }

// Rows returns the rows of the table, sorted by name.
func (c *Core) Rows() []structs.Row {
	rows := make([]structs.Row, 0, len(c.rows))
	for _, known := range c.listedRows() {
		rows = append(rows, known.Row)
	}
	return rows
}

// Table returns the table with the known grants of the zone, as a full delta from which
// another Core can continue.
func (c *Core) Table() structs.TableDelta {
	delta := structs.TableDelta{Revision: c.tableRevision, Full: true}
	for _, known := range c.listedRows() {
		delta.Rows = append(delta.Rows, known.Row)
		if known.grantSequence > 0 {
			delta.Grants = append(delta.Grants, structs.Grant{
				Row: known.Name, Zone: c.options.Zone, Limit: known.limit, Sequence: known.grantSequence,
			})
		}
		if len(known.elsewhere) > 0 {
			delta.Elsewhere = append(delta.Elsewhere, structs.RowZones{Row: known.Name, Zones: known.elsewhere})
		}
	}
	return delta
}

func (c *Core) listedRows() []*row {
	listed := make([]*row, 0, len(c.rows))
	for _, known := range c.rows {
		if known.listed {
			listed = append(listed, known)
		}
	}
	slices.SortFunc(listed, func(left, right *row) int { return cmp.Compare(left.Name, right.Name) })
	return listed
}
