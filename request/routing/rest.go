package routing

import "time"

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
// to unload the model. A view that lists the replica anew begins without one.
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
