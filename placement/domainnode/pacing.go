package domainnode

import (
	"sync"
	"time"
)

const (
	// minReplyInterval is the minimum average interval between two replies to watches. A reply
	// takes about 0.2 ms of CPU time, and replies to a thousand routers at once would take the
	// leader longer than its lease.
	minReplyInterval = 250 * time.Microsecond
	// replyLinkShare is the share of the link's bandwidth for replies. The rest is left to raft
	// messages, which must arrive within the lease.
	replyLinkShare = 0.5
	// fullViewLinkShare is the share for full views to routers that have nearly all of their
	// content. With ten thousand runners and a thousand routers, sending them takes half a minute.
	fullViewLinkShare = 1.0 / 16
)

// pacer spaces replies to watches over time. Otherwise the first views of a new leader to
// all routers of a large site would saturate its link, delay heartbeats of the group beyond
// the lease and cause repeated elections.
type pacer struct {
	// bytesPerSecond is the bandwidth for replies; 0 if unknown.
	bytesPerSecond float64

	mutex sync.Mutex
	// nextFree is when the next reply may be sent.
	nextFree time.Time
}

func newPacer(bytesPerSecond float64) *pacer { return &pacer{bytesPerSecond: bytesPerSecond} }

// reserve reserves the next slot for a reply of the given size and returns the wait until
// it. If the wait exceeds limit, it reserves nothing and returns false.
func (p *pacer) reserve(now time.Time, bytes int, limit time.Duration) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait := max(0, p.nextFree.Sub(now))
	if wait > limit {
		return wait, false
	}
	takes := minReplyInterval
	if p.bytesPerSecond > 0 {
		takes = max(takes, time.Duration(float64(bytes)/p.bytesPerSecond*float64(time.Second)))
	}
	p.nextFree = now.Add(wait + takes)
	return wait, true
}
