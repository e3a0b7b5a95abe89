package table

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// TestMain fixes the seed of the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260611"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var testTime = time.Date(2026, time.March, 4, 5, 6, 7, 8, time.UTC)

func modelRow(name string, maxReplicas int) structs.Row {
	return structs.Row{
		Name: structs.RowName(name), Kind: structs.RowModel, Weight: 1, Priority: structs.PriorityStandard,
		MaxReplicas: maxReplicas, MemoryBytes: 1 << 30, Role: "answers",
	}
}

func adapterRow(name, base string, maxReplicas int) structs.Row {
	row := modelRow(name, maxReplicas)
	row.Kind = structs.RowAdapter
	row.Base = structs.RowName(base)
	return row
}

func put(row structs.Row, base uint64) structs.RowChange {
	return structs.RowChange{Row: row, BaseRevision: base}
}

func remove(name string, base uint64) structs.RowChange {
	return structs.RowChange{Row: structs.Row{Name: structs.RowName(name)}, Delete: true, BaseRevision: base}
}

func editOf(id string, changes ...structs.RowChange) Command {
	edit := structs.Edit{ID: structs.EditID(id), Author: "ada", Changes: changes}
	return Command{Edit: &EditCommand{Edit: edit, At: testTime}}
}

func wishOf(zone string, row string, wanted int) Command {
	wishes := []structs.GrantWish{{Row: structs.RowName(row), Wanted: wanted}}
	return Command{Wish: &WishCommand{Zone: structs.ZoneID(zone), Wishes: wishes}}
}

func releaseOf(grant structs.Grant) Command {
	return Command{Release: &structs.GrantRelease{Row: grant.Row, Zone: grant.Zone, Sequence: grant.Sequence, Limit: grant.Limit}}
}

// stateWith returns a state with the zones a, b, ... of weight 1.
func stateWith(zones int) *State {
	state := New()
	for i := range zones {
		state.Apply(Command{Zone: &ZoneCommand{Zone: structs.ZoneID(rune('a' + i)), Weight: 1}})
	}
	return state
}

// mustApply applies commands and fails the test unless they are accepted.
func mustApply(t testing.TB, state *State, commands ...Command) {
	t.Helper()
	for _, command := range commands {
		result := state.Apply(command)
		qt.Assert(t, result.Error == nil, qt.IsTrue, qt.Commentf("%+v", result.Error))
		if result.Edit != nil {
			qt.Assert(t, result.Edit.Accepted, qt.IsTrue, qt.Commentf("%+v", result.Edit))
		}
		qt.Assert(t, state.CheckInvariants(), qt.IsNil)
	}
}

// grantOf returns the zone's grant, or the zero grant if it has none.
func grantOf(state *State, row, zone string) structs.Grant {
	for _, grant := range state.Grants(structs.RowName(row)) {
		if grant.Zone == structs.ZoneID(zone) {
			return grant
		}
	}
	return structs.Grant{}
}

// limitsOf formats the grants as "a:limit/held".
func limitsOf(state *State, row string) string {
	text := ""
	for _, grant := range state.Grants(structs.RowName(row)) {
		text += fmt.Sprintf("%s:%d/%d ", grant.Zone, grant.Limit, grant.Held)
	}
	return text
}
