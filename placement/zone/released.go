package zone

import "github.com/lotusferry/lotusferry/structs"

// releasedRequests remembers the latest requests that were released as not run, so
// that a delayed begin of one of them is rejected instead of holding the key forever.
type releasedRequests struct {
	known map[structs.RequestID]bool
	// order is a ring buffer of the known requests; oldest is the next slot to reuse.
	order  []structs.RequestID
	oldest int
}

func newReleasedRequests() releasedRequests {
	return releasedRequests{known: map[structs.RequestID]bool{}}
}

func (r *releasedRequests) has(request structs.RequestID) bool { return r.known[request] }

func (r *releasedRequests) add(request structs.RequestID) {
	if request == "" || r.known[request] {
		return
	}
	r.known[request] = true
	if len(r.order) < MaxReleasedRequests {
		r.order = append(r.order, request)
		return
	}
	delete(r.known, r.order[r.oldest])
	r.order[r.oldest] = request
	r.oldest = (r.oldest + 1) % len(r.order)
}

// list returns the remembered requests, oldest first.
func (r *releasedRequests) list() []structs.RequestID {
	list := make([]structs.RequestID, 0, len(r.order))
	list = append(list, r.order[r.oldest:]...)
	return append(list, r.order[:r.oldest]...)
}
