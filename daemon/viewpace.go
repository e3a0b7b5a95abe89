package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// ViewPartPause separates two parts of the whole table that a controller sends, of
// some 150 KB each: all routers that lost their disks share 5 MB a second of it, and
// none of them is ever sent more than a part at once.
const ViewPartPause = 30 * time.Millisecond

// viewPace hands out the times at which parts are sent. Its zero value is ready.
type viewPace struct {
	mutex sync.Mutex
	next  time.Time
}

// reserve returns how long to wait for the next part that may be sent, and false
// when that is longer than a poll lasts: the router then asks another controller.
func (p *viewPace) reserve(now time.Time) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	if wait >= maxWait {
		return 0, false
	}
	p.next = p.next.Add(ViewPartPause)
	return wait, true
}

// await waits, if the answer is a part, until it may be sent, and reports whether
// ctx lasts until then.
func (p *viewPace) await(ctx context.Context, part bool) bool {
	if !part {
		return true
	}
	wait, free := p.reserve(time.Now())
	return free && pause.For(ctx, wait)
}
