package table

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lotusferry/lotusferry/structs"
)

// Without new wishes, after all releases, an adapter's limits must add up to its
// maximum unless its base has no replicas.
func TestAdapterLimitsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := stateWith(rapid.IntRange(1, 6).Draw(t, "zones"))
		baseMax := rapid.IntRange(0, 6).Draw(t, "base max")
		adapterMax := rapid.IntRange(0, 6).Draw(t, "adapter max")
		state.Apply(editOf("e", put(modelRow("m", baseMax), 0), put(adapterRow("x", "m", adapterMax), 0)))
		for range rapid.IntRange(0, 6).Draw(t, "wishes") {
			zone := rapid.SampledFrom(state.Zones()).Draw(t, "zone").Zone
			row := rapid.SampledFrom([]string{"m", "x"}).Draw(t, "row")
			state.Apply(wishOf(string(zone), row, rapid.IntRange(0, 6).Draw(t, "wish")))
			releaseAll(state, rapid.SampledFrom([]string{"m", "x"}).Draw(t, "released"))
		}
		for range 4 {
			releaseAll(state, "m")
			releaseAll(state, "x")
		}
		sum := 0
		for _, grant := range state.Grants("x") {
			if grant.Held != grant.Limit {
				t.Fatalf("not converged: %s", limitsOf(state, "x"))
			}
			sum += grant.Limit
		}
		want := adapterMax
		if baseMax == 0 {
			want = 0
		}
		if sum != want {
			t.Fatalf("limits sum to %d of %d: %s, base %s", sum, want, limitsOf(state, "x"), limitsOf(state, "m"))
		}
	})
}

// Without new wishes, after all releases, the limits must add up to the maximum and
// stop changing.
func TestLimitsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := stateWith(rapid.IntRange(1, 6).Draw(t, "zones"))
		maxReplicas := rapid.IntRange(0, 20).Draw(t, "max")
		state.Apply(editOf("e", put(modelRow("m", maxReplicas), 0)))
		for _, zone := range state.Zones() {
			state.Apply(wishOf(string(zone.Zone), "m", rapid.IntRange(0, 10).Draw(t, "wish")))
		}
		releaseAll(state, "m")
		releaseAll(state, "m")
		sum := 0
		for _, grant := range state.Grants("m") {
			if grant.Held != grant.Limit {
				t.Fatalf("not converged: %s", limitsOf(state, "m"))
			}
			sum += grant.Limit
		}
		revision := state.Revision()
		releaseAll(state, "m")
		if sum != maxReplicas || state.Revision() != revision {
			t.Fatalf("limits sum to %d of %d: %s", sum, maxReplicas, limitsOf(state, "m"))
		}
	})
}

func releaseAll(state *State, row string) {
	for _, grant := range state.Grants(structs.RowName(row)) {
		state.Apply(releaseOf(grantOf(state, row, string(grant.Zone))))
	}
}
