package residency

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// copySmoothing is the weight of a load in what is believed of the time of loads from copies
	// at its machine: two thirds of a change are believed after three loads, a few seconds in a
	// rush.
	copySmoothing = 0.3
	// mostCopySlowness bounds it: a load that takes longer waited for something else.
	mostCopySlowness = 10
	// copyBelievedFor is how long it is believed without another load. What is left of it then fades
	// by copyFade in each second, to a third in a minute: a machine whose disk was slow for a while, or
	// that was frozen, gets no load that others can do, and would never be seen to have recovered.
	copyBelievedFor = time.Minute
	copyFade        = 0.98
)

// learnCopyTime takes how many times as long as expected a load from a copy took.
func (r *runner) learnCopyTime(now time.Time, ofExpected float64) {
	r.copySeenAt = now
	found := min(mostCopySlowness, ofExpected*r.copyFactor())
	r.copySlowness = r.copyFactor() + copySmoothing*(found-r.copyFactor())
}

// fadeCopyTime forgets a part of what was learned of a machine that has loaded from no copy for long.
func (r *runner) fadeCopyTime(now time.Time, passed time.Duration) {
	if now.Sub(r.copySeenAt) > copyBelievedFor {
		r.copySlowness = 1 + (r.copyFactor()-1)*math.Pow(copyFade, passed.Seconds())
	}
}

// copyFactor is how many times as long as listed a load from a copy at the machine takes.
func (r *runner) copyFactor() float64 { return max(1, r.copySlowness) }

// loadTime is how long a load of the model at the runner takes, from where its machine has
// a copy or from the weight store.
func loadTime(known *runner, model *site.Model) time.Duration {
	listed := model.LoadTime
	switch known.copies[model.Name] {
	case copyInMemory:
		listed = model.MemoryLoadTime
	case copyOnDisk:
		listed = model.DiskLoadTime
	default:
		return listed
	}
	return time.Duration(float64(listed) * known.copyFactor())
}
