package residency

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// copySmoothing is the weight of a load in the slowness of loads from copies. Two thirds of a
	// change are learned after three loads.
	copySmoothing = 0.3
	// maxCopySlowness bounds the slowness: a longer load was waiting for something else.
	maxCopySlowness = 10
	// copyRetention is how long the slowness is kept without another load. It then decays by
	// copyDecay each second, so that a machine whose disk was slow for a while is tried again.
	copyRetention = time.Minute
	copyDecay     = 0.98
)

// learnCopyTime records how long a load from a copy took, relative to the expected time.
func (r *runner) learnCopyTime(now time.Time, ofExpected float64) {
	r.copySeenAt = now
	found := min(maxCopySlowness, ofExpected*r.copyFactor())
	r.copySlowness = r.copyFactor() + copySmoothing*(found-r.copyFactor())
}

// decayCopyTime decays the slowness of a machine that has not loaded from a copy for copyRetention.
func (r *runner) decayCopyTime(now time.Time, passed time.Duration) {
	if r.copyFactor() > 1 && now.Sub(r.copySeenAt) > copyRetention {
		r.copySlowness = 1 + (r.copyFactor()-1)*math.Pow(copyDecay, passed.Seconds())
	}
}

// copyFactor returns the ratio of the time of a load from a copy at the machine to the listed time.
func (r *runner) copyFactor() float64 { return max(1, r.copySlowness) }

// loadTime returns the expected time of a load of the model at the runner, from its machine's copy
// or else from the weight store.
func loadTime(r *runner, model *site.Model) time.Duration {
	listed := model.LoadTime
	switch r.copies[model.Name] {
	case copyInMemory:
		listed = model.MemoryLoadTime
	case copyOnDisk:
		listed = model.DiskLoadTime
	default:
		return listed
	}
	return time.Duration(float64(listed) * r.copyFactor())
}
