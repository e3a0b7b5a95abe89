package scheduler

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// testTable implements Table with literal rows and limits.
type testTable struct {
	// adapters, when not nil, is what AdaptersOf returns.
	adapters map[structs.RowName][]structs.RowName
	rows     map[structs.RowName]structs.Row
	limits   map[structs.RowName]int
	minimum  []structs.RowName
	// frozen is the row whose grant is frozen.
	frozen structs.RowName
}

func (t testTable) Row(name structs.RowName) (structs.Row, bool) {
	row, ok := t.rows[name]
	return row, ok
}

func (t testTable) Grant(name structs.RowName) structs.Grant {
	grant := structs.Grant{Row: name, Limit: t.limits[name], Frozen: name == t.frozen}
	if slices.Contains(t.minimum, name) {
		grant.Minimum = t.rows[name].MinReplicas
	}
	return grant
}

func (t testTable) AdaptersOf(base structs.RowName) []structs.RowName {
	if t.adapters != nil {
		return t.adapters[base]
	}
	var names []structs.RowName
	for name, row := range t.rows {
		if row.Base == base {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (t testTable) RowsWithMinimum() []structs.RowName { return t.minimum }
