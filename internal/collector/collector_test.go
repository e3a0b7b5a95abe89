package collector

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestGarbageIsBoundedByTheMachinesMemory(t *testing.T) {
	const mega = 1 << 20
	for name, test := range map[string]struct {
		live, memory uint64
		percent      int
	}{
		"nothing is known":             {0, 0, 150},
		"no collection yet":            {0, 184 * mega, 150},
		"a small heap":                 {5 * mega, 184 * mega, 150},
		"a middling heap of a router":  {9 * mega, 184 * mega, 127},
		"a large heap of a router":     {23 * mega, 184 * mega, 100},
		"a leader of a large site":     {134 * mega, 536 * mega, 100},
		"a heap as large as a machine": {500 * mega, 536 * mega, 100},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Percent(test.live, test.memory), qt.Equals, test.percent)
		})
	}
	c := qt.New(t)
	for live := uint64(mega); live < 200*mega; live += mega {
		garbage := float64(live) * float64(Percent(live, 184*mega)) / 100
		c.Assert(garbage <= 11.5*mega || Percent(live, 184*mega) == least, qt.IsTrue)
	}
}

func TestWhatLivesIsKnown(t *testing.T) {
	qt.Assert(t, live() < 1<<40, qt.IsTrue)
}
