package residency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// For six seconds, all rare models get more than twice as many requests, at sites that can hold
// about half of the models. Objectives allow for several loads from copies, so that swapping serves
// nearly all requests except for models without any copy.
func TestBurstOverRareModelsIsServed(t *testing.T) {
	for _, test := range []struct {
		name  string
		shape burstShape
		// minInTime is the minimum share of requests for rare models in time, and maxUnserved the
		// maximum share of those that are dropped.
		minInTime, maxUnserved float64
	}{
		{"60 runners, objective of 2.5 s", messagingShape, 0.94, 0.012},
		{"90 runners, objective of 6 s", mailShape, 0.955, 0.008},
	} {
		for seed := range uint64(1) {
			t.Run(fmt.Sprint(test.name, " ", seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				w := newBurstWorld(test.shape, seed)
				w.play(20 * time.Second)
				asked := float64(w.rareSeen.asked)
				c.Check(float64(w.rareSeen.inTime) >= test.minInTime*asked, qt.IsTrue, qt.Commentf("%v", w))
				c.Check(float64(w.rareSeen.refused) <= test.maxUnserved*asked, qt.IsTrue, qt.Commentf("%v", w))
				c.Check(float64(w.hotSeen.inTime) >= 0.99*float64(w.hotSeen.asked), qt.IsTrue, qt.Commentf("%v", w))
			})
		}
	}
}
