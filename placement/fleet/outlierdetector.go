package fleet

import "time"

const (
	// failureWindow is the period over which the results of attempts count, about two reporting
	// intervals of a router. Older results decay.
	failureWindow = time.Second
	// minFailures recent failed attempts, reported by minReporters routers, are needed to eject a
	// runner: a single router may be faulty itself, and one or two failures may be caused by the
	// requests.
	minFailures  = 4
	minReporters = 3
	// failureRatio is the minimum share of failed attempts for an ejection. A runner that loses one
	// answer in ten still serves most callers; at two in five, a slightly more loaded runner serves
	// them better.
	failureRatio = 0.4
	// minEjection is the duration of the first ejection. It doubles up to maxEjection: each probe
	// afterwards costs a few callers their answers, and a recovered runner stays unused for the
	// rest of the ejection.
	minEjection = 2 * time.Second
	maxEjection = 4 * time.Second
	// ejectionResetAfter is the time without failures after an ejection before the next one starts
	// at minEjection again.
	ejectionResetAfter = 10 * time.Second
)

// Attempts counts the results of a router's attempts at a runner since its last report.
type Attempts struct {
	Instance string
	Answered int
	// Failed attempts were aborted, or answered with an error of the runner itself.
	Failed int
}

// OutlierDetector detects runners that fail many requests although their heartbeats arrive. It combines the
// reports of all routers, since each router sees only a few attempts. Create one with NewOutlierDetector
// when leadership begins. Its methods are not safe for concurrent use.
type OutlierDetector struct{ runners map[string]*attemptStats }

// attemptStats holds the recent results of attempts at a runner.
type attemptStats struct {
	answered, failed float64
	at               time.Time
	reporters        map[string]time.Time
	// The runner gets no requests until ejectedUntil. ejection is the duration of that ejection.
	ejectedUntil time.Time
	ejection     time.Duration
}

// NewOutlierDetector returns an OutlierDetector without any reports.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{runners: make(map[string]*attemptStats)}
}

// Observe records a router's report. It reports whether the report caused the runner to be ejected.
func (f *OutlierDetector) Observe(now time.Time, router string, ended Attempts) bool {
	known := f.runners[ended.Instance]
	if known == nil {
		if ended.Failed == 0 {
			return false
		}
		known = &attemptStats{reporters: make(map[string]time.Time)}
		f.runners[ended.Instance] = known
	}
	known.decay(now)
	known.answered += float64(ended.Answered)
	known.failed += float64(ended.Failed)
	if ended.Failed > 0 {
		known.reporters[router] = now
	}
	return known.ejectIfFailing(now)
}

// IsFailing reports whether the runner is ejected, and should get requests only if no other runner
// can take them.
func (f *OutlierDetector) IsFailing(now time.Time, instance string) bool {
	known := f.runners[instance]
	return known != nil && now.Before(known.ejectedUntil)
}

// IsEmpty reports whether no recent failures are recorded.
func (f *OutlierDetector) IsEmpty() bool { return len(f.runners) == 0 }

// Forget deletes the records of runners that are no longer listed, and expired records.
func (f *OutlierDetector) Forget(now time.Time, isListed func(instance string) bool) {
	for instance, known := range f.runners {
		isOld := now.Sub(known.at) > ejectionResetAfter && now.Sub(known.ejectedUntil) > ejectionResetAfter
		if isOld || !isListed(instance) {
			delete(f.runners, instance)
		}
	}
}

func (e *attemptStats) decay(now time.Time) {
	passed := now.Sub(e.at)
	e.at = now
	if passed <= 0 {
		return
	}
	kept := max(0, 1-float64(passed)/float64(2*failureWindow))
	e.answered *= kept
	e.failed *= kept
	for router, at := range e.reporters {
		if now.Sub(at) > failureWindow {
			delete(e.reporters, router)
		}
	}
}

// ejectIfFailing ejects the runner if it fails too many attempts. Failures during an ejection are
// ignored, since these attempts began before it.
func (e *attemptStats) ejectIfFailing(now time.Time) bool {
	isFailing := e.failed >= minFailures && len(e.reporters) >= minReporters && e.failed >= failureRatio*(e.failed+e.answered)
	if !isFailing || now.Before(e.ejectedUntil) {
		return false
	}
	if e.ejection == 0 || now.Sub(e.ejectedUntil) > ejectionResetAfter {
		e.ejection = minEjection
	} else {
		e.ejection = min(2*e.ejection, maxEjection)
	}
	e.ejectedUntil = now.Add(e.ejection)
	e.answered, e.failed = 0, 0
	clear(e.reporters)
	return true
}
