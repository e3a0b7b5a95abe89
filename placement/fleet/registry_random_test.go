package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against runners that are listed twice, not at all or out of order, as the records are kept
// sorted in place of being sorted for each list.
func TestSortedRecordsEqualAllRecords(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, seed))
			now := start
			r := NewRegistry(now, testTiming)
			for sequence := range uint64(500) {
				now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
				for range random.IntN(6) {
					instance := Incarnation(fmt.Sprintf("i-%02d", random.IntN(60)), now.Unix()/40)
					switch random.IntN(8) {
					case 0:
						r.Depart(now, instance, random.IntN(2) == 0)
					case 1:
						r.Recall(now, Heartbeat{Instance: instance, Address: instance})
					default:
						r.ObserveHeartbeat(now, Heartbeat{Instance: instance, Address: instance, Zone: "z", Sequence: sequence})
					}
				}
				if random.IntN(4) == 0 {
					r.Expire(now)
				}
				checkSorted(c, r, now)
			}
		})
	}
}

func checkSorted(c *qt.C, r *Registry, now time.Time) {
	c.Helper()
	var silent []string
	for instance, known := range r.runners {
		if now.Sub(known.heardAt) > time.Second {
			silent = append(silent, instance)
		}
	}
	slices.Sort(silent)
	c.Assert(r.Silent(now, time.Second), qt.DeepEquals, silent)
	var listed []string
	for _, known := range r.sorted {
		listed = append(listed, known.instance)
		c.Assert(r.runners[known.instance], qt.Equals, known)
	}
	c.Assert(listed, qt.DeepEquals, slices.Sorted(maps.Keys(r.runners)))
	c.Assert(slices.IsSorted(r.Gone()), qt.IsTrue)
}
