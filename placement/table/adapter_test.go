package table

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

// servingZonesOf returns the zones with a positive limit, as routers see them.
func servingZonesOf(state *State, row string) string {
	text := ""
	for _, grant := range state.Grants(structs.RowName(row)) {
		if grant.Limit > 0 {
			text += string(grant.Zone)
		}
	}
	return text
}

// minimumsOf formats the positive minimums of the zones as "a:count".
func minimumsOf(state *State, row string) string {
	text := ""
	for _, grant := range state.Grants(structs.RowName(row)) {
		if grant.Minimum > 0 {
			text += fmt.Sprintf("%s:%d ", grant.Zone, grant.Minimum)
		}
	}
	return text
}

func withMinimum(row structs.Row, minimum int) structs.Row {
	row.MinReplicas = minimum
	return row
}

func TestAdapterIsServedOnlyInZonesOfItsBase(t *testing.T) {
	state := stateWith(4)
	var changes []structs.RowChange
	for i := range 40 {
		changes = append(changes, put(adapterRow(fmt.Sprintf("x%d", i), "m", 1+i%3), 0))
	}
	changes = append(changes, put(modelRow("m", 2), 0))
	mustApply(t, state, editOf("make", changes...))
	bases := servingZonesOf(state, "m")
	qt.Assert(t, bases, qt.HasLen, 2)
	for _, change := range changes[:40] {
		sum := 0
		for _, grant := range state.Grants(change.Row.Name) {
			qt.Assert(t, grantOf(state, "m", string(grant.Zone)).Limit > 0, qt.IsTrue, qt.Commentf("%+v", grant))
			sum += grant.Limit
		}
		qt.Assert(t, sum, qt.Equals, change.Row.MaxReplicas)
	}
}

func TestAdapterMovesWithItsBase(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 1), 0), put(adapterRow("x", "m", 2), 0)))
	from := servingZonesOf(state, "m")
	to := map[string]string{"a": "b", "b": "a"}[from]
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, from+":2/2 ")
	// A wish for the adapter alone does not move it to the zone `to`.
	mustApply(t, state, wishOf(to, "x", 1))
	qt.Assert(t, servingZonesOf(state, "x"), qt.Equals, from)
	// The base moves, and the adapter follows once its replicas are released.
	mustApply(t, state, wishOf(to, "m", 1))
	qt.Assert(t, servingZonesOf(state, "m")+servingZonesOf(state, "x"), qt.Equals, "")
	qt.Assert(t, grantOf(state, "x", from).Held, qt.Equals, 2)
	mustApply(t, state, releaseOf(grantOf(state, "m", from)))
	qt.Assert(t, servingZonesOf(state, "m"), qt.Equals, to)
	qt.Assert(t, servingZonesOf(state, "x"), qt.Equals, "")
	mustApply(t, state, releaseOf(grantOf(state, "x", from)))
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, to+":2/2 ")
	qt.Assert(t, servingZonesOf(state, "x"), qt.Equals, to)
}

func TestAdapterKeepsItsZoneWhileItsBaseGrows(t *testing.T) {
	state := stateWith(3)
	mustApply(t, state, editOf("make", put(modelRow("m", 1), 0), put(adapterRow("x", "m", 1), 0)))
	before := grantOf(state, "x", servingZonesOf(state, "x"))
	mustApply(t, state, editOf("grow", put(modelRow("m", 3), state.rows["m"].row.Revision)))
	qt.Assert(t, servingZonesOf(state, "m"), qt.Equals, "abc")
	qt.Assert(t, state.Grants("x"), qt.DeepEquals, []structs.Grant{before})
}

func TestAdapterOfBaseWithoutReplicasIsServedNowhere(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 2), 0), put(adapterRow("x", "m", 2), 0)))
	mustApply(t, state, editOf("none", put(modelRow("m", 0), state.rows["m"].row.Revision)))
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, "a:0/1 b:0/1 ")
	mustApply(t, state, editOf("back", put(modelRow("m", 2), state.rows["m"].row.Revision)))
	mustApply(t, state, releaseOf(grantOf(state, "m", "a")), releaseOf(grantOf(state, "m", "b")))
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, "a:1/1 b:1/1 ")
}

func TestAdapterIsRebasedOrRecreated(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 1), 0), put(modelRow("n", 0), 0), put(adapterRow("x", "m", 1), 0)))
	zone := servingZonesOf(state, "m")
	mustApply(t, state, editOf("rebase", put(adapterRow("x", "n", 1), state.rows["x"].row.Revision)))
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, zone+":0/1 ")
	qt.Assert(t, state.rows["m"].adapters, qt.HasLen, 0)
	mustApply(t, state, editOf("delete", remove("x", state.rows["x"].row.Revision), remove("n", state.rows["n"].row.Revision)))
	mustApply(t, state, editOf("again", put(adapterRow("x", "m", 1), 0)))
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, zone+":1/1 ")
	// A version is loaded without its base, so it is not limited to the base's zones.
	version := adapterRow("v", "m", 2)
	version.Kind = structs.RowVersion
	mustApply(t, state, editOf("version", put(version, 0)))
	qt.Assert(t, limitsOf(state, "v"), qt.Equals, "a:1/1 b:1/1 ")
}

func TestAdapterLeavesARemovedZoneWithItsBase(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(adapterRow("x", "m", 1), 0), put(modelRow("m", 2), 0)))
	from := servingZonesOf(state, "x")
	to := map[string]string{"a": "b", "b": "a"}[from]
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: structs.ZoneID(from), Remove: true, Force: true}})
	qt.Assert(t, limitsOf(state, "x"), qt.Equals, to+":1/1 ")
}

func TestMinimumIsSplitOverZones(t *testing.T) {
	state := stateWith(3)
	mustApply(t, state, editOf("make",
		put(withMinimum(modelRow("m", 6), 2), 0), put(withMinimum(adapterRow("x", "m", 3), 3), 0), put(modelRow("n", 3), 0)))
	sum := func(row string) (minimum int) {
		for _, grant := range state.Grants(structs.RowName(row)) {
			minimum += grant.Minimum
		}
		return minimum
	}
	qt.Assert(t, []int{sum("m"), sum("x"), sum("n")}, qt.DeepEquals, []int{2, 3, 0})
	kept := minimumsOf(state, "m")
	sequence := grantOf(state, "m", "a").Sequence
	// Moving limits between zones keeps the minimums.
	mustApply(t, state, wishOf("a", "m", 2))
	qt.Assert(t, minimumsOf(state, "m"), qt.Equals, kept)
	// The adapter's minimum is capped by the base's single replica.
	mustApply(t, state, editOf("lower", put(withMinimum(modelRow("m", 1), 1), state.rows["m"].row.Revision)))
	qt.Assert(t, []int{sum("m"), sum("x")}, qt.DeepEquals, []int{1, 1})
	qt.Assert(t, minimumsOf(state, "x"), qt.Equals, minimumsOf(state, "m"))
	qt.Assert(t, grantOf(state, "m", "a").Sequence > sequence, qt.IsTrue)
	mustApply(t, state, editOf("delete", remove("m", state.rows["m"].row.Revision), remove("x", state.rows["x"].row.Revision)))
	qt.Assert(t, []int{sum("m"), sum("x")}, qt.DeepEquals, []int{0, 0})
}

// The minimums of existing zones must move to zones that are added later.
func TestMinimumIsRebalancedWhenZonesAreAdded(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(withMinimum(modelRow("m", 8), 4), 0)))
	qt.Assert(t, minimumsOf(state, "m"), qt.Equals, "a:2 b:2 ")
	for _, zone := range []structs.ZoneID{"c", "d"} {
		mustApply(t, state, Command{Zone: &ZoneCommand{Zone: zone, Weight: 1}})
	}
	for range 4 {
		releaseAll(state, "m")
	}
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:2/2 b:2/2 c:2/2 d:2/2 ")
	qt.Assert(t, minimumsOf(state, "m"), qt.Equals, "a:1 b:1 c:1 d:1 ")
}

func TestMinimumChangeAloneIsSentToZones(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)))
	since := state.Revision()
	mustApply(t, state, editOf("keep", put(withMinimum(modelRow("m", 4), 4), state.rows["m"].row.Revision)))
	for _, zone := range []structs.ZoneID{"a", "b"} {
		grants := state.Delta(zone, since).Grants
		qt.Assert(t, grants, qt.HasLen, 1)
		qt.Assert(t, grants[0].Minimum, qt.Equals, 2)
	}
}
