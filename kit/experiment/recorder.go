package experiment

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// recorder collects the measurements of a run.
type recorder struct {
	ended   int
	faults  int
	classes map[workload.Class]*classCount
	// coldWaits holds, for each live request, the seconds from arrival to first token
	// if no replica was ready, or 0 if one was. A refused request counts as its
	// deadline.
	coldWaits []float64
	// coldStarts holds the waits of the cold requests of all classes.
	coldStarts          []float64
	loads               map[structs.CacheTier]int
	unloads             map[scheduler.Reason]int
	loadReasons         map[scheduler.Reason]int
	prefetches          int
	refusedReservations int
	plans               int
	planTime            time.Duration
}

type classCount struct {
	arrived, refused, late, cold int
}

func newRecorder() *recorder {
	return &recorder{
		classes: map[workload.Class]*classCount{}, loads: map[structs.CacheTier]int{},
		unloads: map[scheduler.Reason]int{}, loadReasons: map[scheduler.Reason]int{},
	}
}

func (m *recorder) loadStarted(tier structs.CacheTier) { m.loads[tier]++ }

func (m *recorder) planned(took time.Duration) {
	m.plans++
	m.planTime += took
}

// requestEnded records a request that ended at the given time.
func (m *recorder) requestEnded(now time.Time, r *request) {
	m.ended++
	class := m.classes[r.Class]
	if class == nil {
		class = &classCount{}
		m.classes[r.Class] = class
	}
	class.arrived++
	wait := 0.0
	switch {
	case r.outcome == outcomeRefused:
		class.refused++
		wait = r.Deadline.Seconds()
	case now.After(r.deadlineAt):
		class.late++
	}
	if r.cold {
		class.cold++
		if r.outcome == outcomeAnswered {
			wait = r.firstTokenAt.Sub(r.arrivedAt).Seconds()
		}
		m.coldStarts = append(m.coldStarts, wait)
	}
	if r.Priority == structs.PriorityLive {
		m.coldWaits = append(m.coldWaits, wait)
	}
}

// Quantiles summarizes a sample of durations in seconds.
type Quantiles struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean_seconds"`
	P50   float64 `json:"p50_seconds"`
	P99   float64 `json:"p99_seconds"`
	P999  float64 `json:"p99_9_seconds"`
	Max   float64 `json:"max_seconds"`
}

func quantilesOf(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	sorted := slices.Sorted(slices.Values(values))
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	at := func(q float64) float64 { return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)] }
	return Quantiles{
		Count: len(sorted), Mean: sum / float64(len(sorted)),
		P50: at(0.5), P99: at(0.99), P999: at(0.999), Max: sorted[len(sorted)-1],
	}
}
