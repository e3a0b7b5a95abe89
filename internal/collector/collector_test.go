package collector

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPercentBoundsGarbageByMachineMemory(t *testing.T) {
	const mega = 1 << 20
	for name, test := range map[string]struct {
		live, memory uint64
		percent      int
	}{
		"unknown sizes":                {0, 0, 150},
		"before the first collection":  {0, 184 * mega, 150},
		"small heap":                   {5 * mega, 184 * mega, 150},
		"medium heap of a router":      {9 * mega, 184 * mega, 127},
		"large heap of a router":       {23 * mega, 184 * mega, 100},
		"leader of a large site":       {134 * mega, 536 * mega, 100},
		"heap near the machine memory": {500 * mega, 536 * mega, 100},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Percent(test.live, test.memory), qt.Equals, test.percent)
		})
	}
	c := qt.New(t)
	for live := uint64(mega); live < 200*mega; live += mega {
		garbage := float64(live) * float64(Percent(live, 184*mega)) / 100
		c.Assert(garbage <= 11.5*mega || Percent(live, 184*mega) == minimumPercent, qt.IsTrue)
	}
}

func TestLiveHeapBytesIsPlausible(t *testing.T) {
	qt.Assert(t, liveHeapBytes() < 1<<40, qt.IsTrue)
}
