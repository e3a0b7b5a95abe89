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
	// maxListedLoads bounds the number of runners in a reply to routers, to those with the most
	// load. An entry takes about 25 bytes; at two polls per second this uses about 3 of the 4 KB/s
	// that a router may receive.
	maxListedLoads = 64
	// readingTime is the averaging time of the prompt tokens that a runner reads.
	readingTime = time.Second
	// readingSteps is the number of steps in which shares are reported, so that each takes three
	// bytes instead of nine.
	readingSteps = 64
)

// readTokens is the average rate of prompt tokens that routers have sent to a runner.
type readTokens struct {
	// rate is in tokens per second, as of at.
	rate float64
	at   time.Time
}

// add counts the tokens sent since the last report of a router.
func (r *readTokens) add(now time.Time, tokens int64) {
	r.rate = r.rateAt(now) + float64(tokens)/readingTime.Seconds()
	r.at = now
}

func (r *readTokens) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-max(0, now.Sub(r.at).Seconds())/readingTime.Seconds())
}

// Loads returns the runners with the most load as of the last plan. Each router knows only the load
// of its own requests.
func (p *Planner) Loads(now time.Time) []fleet.Load {
	if p.snapshot == nil {
		return nil
	}
	var listed []fleet.Load
	used := make(map[string]float64)
	for _, r := range p.snapshot.sorted {
		heartbeat := &r.status.Heartbeat
		load := fleet.Load{Instance: heartbeat.Instance, Requests: p.snapshot.loads[heartbeat.Instance]}
		if r.pace.IsKnown() && r.read.rate > 0 && !r.isForgotten {
			load.Reading = math.Round(r.read.rateAt(now)/r.pace.PromptRate*readingSteps) / readingSteps
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
