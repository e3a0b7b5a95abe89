package table

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

func TestSplitLimits(t *testing.T) {
	tests := []struct {
		about   string
		total   int
		weights []int
		wishes  []int
		limits  []int
		want    []int
	}{
		{"no wishes: by weight", 8, []int{1, 1, 2}, []int{0, 0, 0}, []int{0, 0, 0}, []int{2, 2, 4}},
		{"wishes fit: rest by weight", 8, []int{1, 1, 2}, []int{4, 0, 0}, []int{0, 0, 0}, []int{5, 1, 2}},
		{"wishes in proportion", 8, []int{1, 1, 1}, []int{6, 6, 12}, []int{0, 0, 0}, []int{2, 2, 4}},
		{"largest remainder", 10, []int{1, 1, 1}, []int{10, 20, 34}, []int{0, 0, 0}, []int{2, 3, 5}},
		{"fewer replicas than zones: highest wish", 1, []int{9, 1, 1}, []int{1, 2, 3}, []int{0, 0, 0}, []int{0, 0, 1}},
		{"idle limits stay", 4, []int{1, 1}, []int{0, 0}, []int{4, 0}, []int{4, 0}},
		{"unused limits move to a wish", 4, []int{1, 1}, []int{0, 3}, []int{4, 0}, []int{1, 3}},
		{"near-equal wishes stay", 1, []int{1, 1}, []int{5, 6}, []int{1, 0}, []int{1, 0}},
		{"much higher wish moves", 1, []int{1, 1}, []int{1, 10}, []int{1, 0}, []int{0, 1}},
		{"contested and balanced stays", 10, []int{1, 1}, []int{40, 60}, []int{5, 5}, []int{5, 5}},
		{"contested and unbalanced moves", 10, []int{1, 1}, []int{30, 70}, []int{5, 5}, []int{3, 7}},
		{"contested but idle moves", 20, []int{1, 1}, []int{9, 13}, []int{10, 10}, []int{8, 12}},
		{"lowered total cuts the idle", 4, []int{1, 1}, []int{4, 0}, []int{4, 4}, []int{4, 0}},
		{"raised total adds", 12, []int{1, 1}, []int{0, 0}, []int{4, 4}, []int{6, 6}},
		{"nothing to split", 0, []int{1, 1}, []int{3, 0}, []int{2, 2}, []int{0, 0}},
		{"no zone", 5, nil, nil, nil, nil},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			var shares []share
			for i := range test.weights {
				shares = append(shares, share{weight: test.weights[i], wish: test.wishes[i], limit: test.limits[i], rank: uint64(i + 1)})
			}
			splitLimits(test.total, shares, false)
			var got []int
			for _, zone := range shares {
				got = append(got, zone.next)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

func TestRowsWithFewerReplicasThanZonesSpreadByWeight(t *testing.T) {
	state := stateWith(7)
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: "h", Weight: 3}})
	const rows = 2000
	counts := make(map[structs.ZoneID]int)
	for i := range rows {
		name := fmt.Sprintf("m%d", i)
		state.Apply(editOf(name, put(modelRow(name, 1), 0)))
		for _, grant := range state.Grants(structs.RowName(name)) {
			counts[grant.Zone] += grant.Limit
		}
	}
	sum := 0
	for zone, count := range counts {
		sum += count
		low, high := rows/8*7/10, rows/8*12/10
		if zone == "h" {
			low, high = rows/8*2, rows/8*4
		}
		qt.Check(t, count >= low && count <= high, qt.IsTrue, qt.Commentf("zone %s has %d rows", zone, count))
	}
	qt.Assert(t, sum, qt.Equals, rows)
}

func TestLoweredLimitWaitsForRelease(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)), wishOf("a", "m", 4))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:2/2 b:0/2 ")
	stale := grantOf(state, "m", "b")
	mustApply(t, state, releaseOf(stale))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:4/4 ")
	revision := state.Revision()
	mustApply(t, state, wishOf("a", "m", 0), wishOf("b", "m", 3))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:1/4 ")
	qt.Assert(t, state.Revision(), qt.Equals, revision+1)
	qt.Assert(t, grantOf(state, "m", "a").Sequence, qt.Equals, revision+1)
	qt.Assert(t, state.History(0), qt.HasLen, 1)
	mustApply(t, state, releaseOf(stale))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:1/4 ")
	// A partial release to 3, still above the limit of 1, grants one replica to b.
	partial := releaseOf(grantOf(state, "m", "a"))
	partial.Release.Limit = 3
	mustApply(t, state, partial)
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:1/3 b:1/1 ")
	// A zone that has loaded less than its limit still holds the limit.
	below := releaseOf(grantOf(state, "m", "a"))
	below.Release.Limit = 0
	mustApply(t, state, below)
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:1/1 b:3/3 ")
}

// While more replicas are held than a lowered limit allows, grants are frozen, and
// zones release what they have not loaded, so that a disconnected zone does not block
// the others.
func TestLoweredLimitFreezesGrantsUntilReleased(t *testing.T) {
	state := stateWith(3)
	mustApply(t, state, editOf("make", put(modelRow("m", 6), 0)))
	frozen := func() string {
		text := ""
		for _, grant := range state.Grants("m") {
			text += fmt.Sprintf("%s:%t ", grant.Zone, grant.Frozen)
		}
		return limitsOf(state, "m") + text
	}
	release := func(zone string, loaded int) {
		command := releaseOf(grantOf(state, "m", zone))
		command.Release.Limit = loaded
		mustApply(t, state, command)
	}
	qt.Assert(t, frozen(), qt.Equals, "a:2/2 b:2/2 c:2/2 a:false b:false c:false ")
	mustApply(t, state, editOf("lower", put(modelRow("m", 3), state.Revision())))
	qt.Assert(t, frozen(), qt.Equals, "a:1/2 b:1/2 c:1/2 a:true b:true c:true ")
	release("b", 0)
	qt.Assert(t, frozen(), qt.Equals, "a:1/2 c:1/2 a:true c:true ")
	late := releaseOf(grantOf(state, "m", "c"))
	late.Release.Limit = 0
	release("c", 1)
	qt.Assert(t, frozen(), qt.Equals, "a:1/2 c:1/1 a:false c:false ")
	qt.Assert(t, grantOf(state, "m", "a").Sequence, qt.Equals, state.Revision())
	mustApply(t, state, late)
	qt.Assert(t, frozen(), qt.Equals, "a:1/2 c:1/1 a:false c:false ")
	release("a", 1)
	qt.Assert(t, frozen(), qt.Equals, "a:1/1 b:1/1 c:1/1 a:false b:false c:false ")
}

func TestRaisedLimitUnfreezesGrants(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)), editOf("lower", put(modelRow("m", 2), 1)))
	follower := &deltaFollower{}
	follower.apply(state.Delta("a", 0))
	qt.Assert(t, follower.grants["m"].Frozen, qt.IsTrue)
	mustApply(t, state, editOf("raise", put(modelRow("m", 4), state.Revision())))
	follower.apply(state.Delta("a", follower.revision))
	qt.Assert(t, follower.grants["m"].Frozen, qt.IsFalse)
}

// A zone that released below its frozen limit is granted its limit again once the
// other zones have released their surplus.
func TestReleaseBelowFrozenLimitIsGrantedAgain(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 8), 0)), wishOf("a", "m", 2))
	mustApply(t, state, releaseOf(grantOf(state, "m", "b")))
	held := limitsOf(state, "m")
	mustApply(t, state, editOf("lower", put(modelRow("m", 2), 1)))
	qt.Assert(t, held+limitsOf(state, "m"), qt.Equals, "a:4/4 b:4/4 a:2/4 b:0/4 ")
	below := releaseOf(grantOf(state, "m", "a"))
	below.Release.Limit = 0
	mustApply(t, state, below)
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "b:0/4 ")
	mustApply(t, state, releaseOf(grantOf(state, "m", "b")))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:2/2 ")
}

func TestRecreatedRowCountsHeldReplicas(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)), wishOf("a", "m", 2))
	mustApply(t, state, editOf("delete", remove("m", state.Revision())))
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:0/2 b:0/2 ")
	qt.Assert(t, state.rows["m"].grant(0).wish, qt.Equals, uint16(0))
	qt.Assert(t, state.Delta("a", 0).Grants, qt.HasLen, 1)
	late := grantOf(state, "m", "a")
	mustApply(t, state, editOf("again", put(modelRow("m", 3), 0)))
	qt.Assert(t, state.rows["m"].held(), qt.Equals, 4)
	mustApply(t, state, releaseOf(late))
	qt.Assert(t, state.rows["m"].held(), qt.Equals, 4)
	mustApply(t, state, editOf("lower", put(modelRow("m", 1), state.Revision())))
	for _, zone := range []string{"a", "b"} {
		mustApply(t, state, releaseOf(grantOf(state, "m", zone)))
	}
	qt.Assert(t, state.rows["m"].held(), qt.Equals, 1)
}

func TestRemovedZoneKeepsHeldUnlessForced(t *testing.T) {
	state := stateWith(2)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)))
	mustApply(t, state, wishOf("b", "m", 1), Command{Zone: &ZoneCommand{Zone: "b", Remove: true}})
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:2/2 b:0/2 ")
	qt.Assert(t, state.rows["m"].grant(1).wish, qt.Equals, uint16(0))
	qt.Assert(t, state.Apply(wishOf("b", "m", 1)).Error.Kind, qt.Equals, structs.ErrorNotFound)
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: "b", Remove: true, Force: true}})
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:4/4 ")
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: "b", Weight: 1}})
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "a:2/4 ")
	mustApply(t, state, editOf("lower", put(modelRow("m", 1), 1)))
	qt.Assert(t, state.rows["m"].heldOverLimit, qt.Equals, 4)
	mustApply(t, state, Command{Zone: &ZoneCommand{Zone: "a", Remove: true, Force: true}})
	qt.Assert(t, state.rows["m"].heldOverLimit, qt.Equals, 0)
	qt.Assert(t, limitsOf(state, "m"), qt.Equals, "b:1/1 ")
}

func TestRevisionInForceNeverDecreases(t *testing.T) {
	state := stateWith(1)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)), editOf("other", put(modelRow("n", 4), 0)))
	mustApply(t, state, Command{InForce: &InForceCommand{Zone: "a", Revision: 2}}, Command{InForce: &InForceCommand{Zone: "a", Revision: 1}})
	qt.Assert(t, state.Zones()[0].InForce, qt.Equals, uint64(2))
	qt.Assert(t, state.Apply(Command{InForce: &InForceCommand{Zone: "a", Revision: 3}}).Error.Kind, qt.Equals, structs.ErrorInvalid)
	qt.Assert(t, state.Apply(Command{InForce: &InForceCommand{Zone: "z", Revision: 1}}).Error.Kind, qt.Equals, structs.ErrorNotFound)
}

func TestInvalidCommandsLeaveStateUnchanged(t *testing.T) {
	state := stateWith(1)
	mustApply(t, state, editOf("make", put(modelRow("m", 4), 0)))
	before, err := state.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	commands := []Command{
		{},
		{Wish: &WishCommand{Zone: "a"}, Zone: &ZoneCommand{Zone: "b", Weight: 1}},
		{Edit: &EditCommand{}},
		{Release: &structs.GrantRelease{Row: "m", Zone: "a", Limit: -1}},
		wishOf("a", "m", -1),
		wishOf("a", "m", MaxReplicasLimit+1),
		{Wish: &WishCommand{Zone: "a", Wishes: []structs.GrantWish{{Row: "m", Wanted: 1}, {Row: "m", Zone: "b"}}}},
		{Zone: &ZoneCommand{Zone: "b"}},
		{Zone: &ZoneCommand{Zone: "b c", Weight: 1}},
		{Zone: &ZoneCommand{Zone: "b", Remove: true}},
	}
	for _, command := range commands {
		rejection := state.Apply(command).Error
		qt.Assert(t, rejection != nil, qt.IsTrue, qt.Commentf("%+v", command))
		qt.Assert(t, rejection.Remedy, qt.Not(qt.Equals), "")
		after, err := state.Snapshot()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(after), qt.Equals, string(before))
	}
}
