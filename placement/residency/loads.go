package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

const (
	// maxListedLoads bounds the runners whose loads are listed for the routers. An entry takes some
	// 25 bytes, and a router asks twice a second, so that they cost it about 3 of the 4 KB a
	// second that control may. Those with least to do are left out.
	maxListedLoads = 64
	// readingTime is the time over which the tokens that a runner reads are averaged: a long prompt
	// is read in a quarter of a second or more, and the news of it is half a second old.
	readingTime = time.Second
	// readingSteps is how many steps there are to the whole in a listed share; such a number takes
	// three bytes instead of nine.
	readingSteps = 64
)

// readTokens is how many tokens of prompts routers have sent to a runner, averaged.
type readTokens struct {
	// rate is in tokens a second, as of at.
	rate float64
	at   time.Time
}

// add counts tokens that were sent since the last report of a router.
func (r *readTokens) add(now time.Time, tokens int64) {
	r.rate = r.rateAt(now) + float64(tokens)/readingTime.Seconds()
	r.at = now
}

func (r *readTokens) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-max(0, now.Sub(r.at).Seconds())/readingTime.Seconds())
}

// Loads lists the runners with the most to do, as of the last plan: each router knows its own
// requests only, which on a site with many routers are few.
func (p *Planner) Loads(now time.Time) []fleet.Load {
	if p.tally == nil {
		return nil
	}
	var listed []fleet.Load
	used := make(map[string]float64)
	for _, known := range p.tally.sorted {
		heartbeat := known.status.Heartbeat
		load := fleet.Load{Instance: heartbeat.Instance, Requests: p.tally.loads[heartbeat.Instance]}
		if pace := p.Pace(heartbeat.Instance); pace.IsKnown() {
			load.Reading = math.Round(known.read.rateAt(now)/pace.PromptRate*readingSteps) / readingSteps
		}
		if load.Requests == 0 && load.Reading == 0 {
			continue
		}
		used[load.Instance] = max(load.Reading, float64(load.Requests)/float64(max(1, heartbeat.Slots)))
		listed = append(listed, load)
	}
	slices.SortStableFunc(listed, func(a, b fleet.Load) int {
		return cmp.Or(cmp.Compare(used[b.Instance], used[a.Instance]), strings.Compare(a.Instance, b.Instance))
	})
	return listed[:min(len(listed), maxListedLoads)]
}
