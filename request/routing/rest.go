package routing

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// firstRest is how long a replica that turned a request away gets no other one: three events of
	// a stream, in which a full runner has likely ended one, and a third of the pause between two
	// reports to the leader.
	firstRest = 100 * time.Millisecond
	// maxRest bounds the rest of one that goes on turning requests away, which doubles each time.
	// A model that is being unloaded is off the view by then; one that is there all the
	// same is missed no longer than a stream takes.
	maxRest = 800 * time.Millisecond
)

// rest keeps requests from a replica that has turned one away, as its runner is full or is about
// to unload the model, and did not say for how long. A view that lists the replica anew begins without one.
type rest struct {
	length time.Duration
	until  time.Time
}

func (r *rest) isOn(now time.Time) bool { return now.Before(r.until) }

// begin notes that a request was turned away. What had been sent before the rest began
// does not lengthen it.
func (r *rest) begin(now time.Time) {
	if r.isOn(now) {
		return
	}
	r.length = min(max(firstRest, 2*r.length), maxRest)
	r.until = now.Add(r.length)
}

// end notes that the replica serves requests.
func (r *rest) end() { *r = rest{} }

// trialPause separates two requests to a runner whose rest is over until it has taken one: it had too much a moment ago, and
// all those that waited for the end would come at once. It is what the first event of a stream takes at most times.
const trialPause = 250 * time.Millisecond

// askedRest is the time for which a runner wants no requests of this router, of whichever row. Unlike a rest that
// the router gives it by itself, nothing ends it early.
type askedRest struct {
	until time.Time
	// isTried is set from the first one on until the runner has taken a request after it, and triedAt is when the last
	// was sent that may be the one.
	isTried bool
	triedAt time.Time
}

func (r *askedRest) isOn(now time.Time) bool { return now.Before(r.until) }

// allows reports whether a request may be sent: none before the end, and then one at a time until one is taken.
func (r *askedRest) allows(now time.Time) bool {
	return !r.isOn(now) && (!r.isTried || now.Sub(r.triedAt) >= trialPause)
}

// begin notes until when the runner wants no requests. A shorter time than was known changes nothing.
func (r *askedRest) begin(until time.Time) {
	if until.After(r.until) {
		r.until, r.isTried, r.triedAt = until, true, time.Time{}
	}
}

func (r *askedRest) sent(now time.Time) {
	if r.isTried {
		r.triedAt = now
	}
}

// compare orders runners that take requests before those that asked for rest.
func (r *askedRest) compare(other *askedRest) int {
	switch {
	case r.isTried == other.isTried:
		return 0
	case r.isTried:
		return 1
	}
	return -1
}

// Rest takes a runner out of every choice until a time, whatever it answers to what it has begun already. Of rows with more
// replicas than this daemon uses, another one takes its place.
func (b *Balancer) Rest(id structs.RunnerID, until time.Time) {
	target := b.runners[id]
	if target == nil {
		return
	}
	wasTried := target.asked.isTried
	target.asked.begin(until)
	if !wasTried {
		b.replaceIn(target)
	}
}

// RestsUntil is when the first of the row's runners that may have the work takes requests again, if all of them want none
// now; false otherwise, and if there is none.
func (b *Balancer) RestsUntil(now time.Time, name structs.RowName, work *Work) (time.Time, bool) {
	wanted := b.rows[name]
	if wanted == nil {
		return time.Time{}, false
	}
	var first time.Time
	for _, candidate := range wanted.subset {
		target := candidate.runner
		if target.leaving || !work.allows(target) {
			continue
		}
		if !target.asked.isOn(now) {
			return time.Time{}, false
		}
		if first.IsZero() || target.asked.until.Before(first) {
			first = target.asked.until
		}
	}
	return first, !first.IsZero()
}
