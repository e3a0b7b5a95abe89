package relay

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// firstDocumentWait bounds how long a request waits for the first document after the router starts,
// firstDocumentShare the fraction of its own time.
const (
	firstDocumentWait  = 2 * time.Second
	firstDocumentShare = 0.6
)

// awaitIndex returns the index of the current document. It waits for the first document for a
// limited time and may return nil.
func (r *Router) awaitIndex(request *Request) *site.Index {
	if index := r.index.Load(); index != nil {
		return index
	}
	wait := firstDocumentWait
	if request.Wait > 0 {
		wait = min(wait, time.Duration(float64(request.Wait)*firstDocumentShare))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.known:
	case <-timer.C:
	case <-request.HTTP.Context().Done():
	}
	return r.index.Load()
}
