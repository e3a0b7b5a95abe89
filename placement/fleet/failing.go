package fleet

import "time"

const (
	// evidenceTime is over how long the ends of attempts at a runner are counted: about as long
	// as routers take to report twice. What is older decays.
	evidenceTime = time.Second
	// enoughFailed is how many attempts must have failed at a runner lately, and enoughWitnesses
	// at how many routers, for it to be taken as failing: one router may fail by a fault of its
	// own, and an attempt or two by a fault of the request.
	enoughFailed    = 4
	enoughWitnesses = 3
	// failingShare is the share of the attempts that must have failed. Runners that lose one
	// answer in ten still serve most callers; of one that loses two in five, most callers
	// have more from a runner that is a little more loaded.
	failingShare = 0.4
	// firstRest is how long a failing runner gets no requests before it is tried again. It
	// doubles up to longestRest: a trial costs some callers their answers, a dozen over all
	// routers, and a runner that has come back is missed for the rest of its rest.
	firstRest   = 2 * time.Second
	longestRest = 4 * time.Second
	// forgivenAfter is how long after its rest a runner must not have failed for its next rest
	// to be the first again.
	forgivenAfter = 10 * time.Second
)

// Attempts counts how the attempts at a runner ended that a router made since its last report.
type Attempts struct {
	Instance string
	Answered int
	// Failed were broken off, or answered with a failure of the runner's own.
	Failed int
}

// Failing finds the runners that fail many of the requests that they are sent though their
// heartbeats come. Each router sees a few attempts only: alone, each would have to lose some
// requests to find out. Make one with NewFailing when leadership begins; its methods must
// not run at the same time.
type Failing struct{ runners map[string]*evidence }

// evidence is what tells whether a runner fails.
type evidence struct {
	answered, failed float64
	at               time.Time
	witnesses        map[string]time.Time
	// restsUntil is until when it gets no requests, after a rest of that length.
	restsUntil time.Time
	rest       time.Duration
}

// NewFailing makes a Failing that knows nothing.
func NewFailing() *Failing { return &Failing{runners: make(map[string]*evidence)} }

// Observe takes a router's report. It reports whether a runner is failing from now on.
func (f *Failing) Observe(now time.Time, router string, ended Attempts) bool {
	known := f.runners[ended.Instance]
	if known == nil {
		if ended.Failed == 0 {
			return false
		}
		known = &evidence{witnesses: make(map[string]time.Time)}
		f.runners[ended.Instance] = known
	}
	known.decay(now)
	known.answered += float64(ended.Answered)
	known.failed += float64(ended.Failed)
	if ended.Failed > 0 {
		known.witnesses[router] = now
	}
	return known.judge(now)
}

// IsFailing reports whether a runner should get no requests if another one can.
func (f *Failing) IsFailing(now time.Time, instance string) bool {
	known := f.runners[instance]
	return known != nil && now.Before(known.restsUntil)
}

// IsEmpty reports whether no runner has failed anything lately.
func (f *Failing) IsEmpty() bool { return len(f.runners) == 0 }

// Forget drops the runners that are listed no more, and what no longer tells anything.
func (f *Failing) Forget(now time.Time, isListed func(instance string) bool) {
	for instance, known := range f.runners {
		isOld := now.Sub(known.at) > forgivenAfter && now.Sub(known.restsUntil) > forgivenAfter
		if isOld || !isListed(instance) {
			delete(f.runners, instance)
		}
	}
}

func (e *evidence) decay(now time.Time) {
	passed := now.Sub(e.at)
	e.at = now
	if passed <= 0 {
		return
	}
	kept := max(0, 1-float64(passed)/float64(2*evidenceTime))
	e.answered *= kept
	e.failed *= kept
	for router, at := range e.witnesses {
		if now.Sub(at) > evidenceTime {
			delete(e.witnesses, router)
		}
	}
}

// judge lets the runner rest if it fails. Attempts that were under way when its rest began end
// later and prove nothing new.
func (e *evidence) judge(now time.Time) bool {
	isFailing := e.failed >= enoughFailed && len(e.witnesses) >= enoughWitnesses && e.failed >= failingShare*(e.failed+e.answered)
	if !isFailing || now.Before(e.restsUntil) {
		return false
	}
	if e.rest == 0 || now.Sub(e.restsUntil) > forgivenAfter {
		e.rest = firstRest
	} else {
		e.rest = min(2*e.rest, longestRest)
	}
	e.restsUntil = now.Add(e.rest)
	e.answered, e.failed = 0, 0
	clear(e.witnesses)
	return true
}
