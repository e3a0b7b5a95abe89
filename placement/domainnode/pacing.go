package domainnode

import (
	"sync"
	"time"
)

const (
	// answerTime is the least time between two answers to watches on average: an answer takes a fifth of a
	// millisecond of the leader's share of a core, and a thousand routers that are woken together would else take
	// it for longer than its lease lasts.
	answerTime = 250 * time.Microsecond
	// linkShare is the part of the machine's link that answers take: the rest is for the group's own messages, which
	// must pass within its lease whatever views are under way.
	linkShare = 0.5
	// wholeViewShare is the part that whole views take for routers that know nearly all that is in them: at ten
	// thousand runners and a thousand routers they take half a minute.
	wholeViewShare = 1.0 / 16
)

// pacer spreads the answers to watches in time. A thousand first views of a new leader are 0.2 GB, 1.6 s of a link
// of 1 Gbit/s: sent at once they held up the group's heartbeats for longer than its lease, which made another leader,
// whose first views did the same.
type pacer struct {
	// bytesPerSecond is what answers may take of the link; 0 if that is not known.
	bytesPerSecond float64

	mutex sync.Mutex
	// free is when the next answer may go.
	free time.Time
}

func newPacer(bytesPerSecond float64) *pacer { return &pacer{bytesPerSecond: bytesPerSecond} }

// reserve takes the next place for an answer of so many bytes and returns how long it must wait for it. If that is
// longer than a limit, it takes none and returns false.
func (p *pacer) reserve(now time.Time, bytes int, limit time.Duration) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	wait := max(0, p.free.Sub(now))
	if wait > limit {
		return wait, false
	}
	takes := answerTime
	if p.bytesPerSecond > 0 {
		takes = max(takes, time.Duration(float64(bytes)/p.bytesPerSecond*float64(time.Second)))
	}
	p.free = now.Add(wait + takes)
	return wait, true
}
