package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
)

// ViewPartInterval is the time between two parts of the whole table sent by a
// controller. With parts of about 150 KB, it limits the traffic to 5 MB/s for all
// routers that lost their disks together.
const ViewPartInterval = 30 * time.Millisecond

// viewPartLimiter limits the rate at which parts are sent. The zero value is ready to
// use.
type viewPartLimiter struct {
	mutex sync.Mutex
	next  time.Time
}

// reserve returns how long to wait before sending the next part. It returns false if
// that exceeds maxWait; the router then asks another controller.
func (p *viewPartLimiter) reserve(now time.Time) (time.Duration, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	if wait >= maxWait {
		return 0, false
	}
	p.next = p.next.Add(ViewPartInterval)
	return wait, true
}

// await waits until a part may be sent. It returns true at once if the reply is not a
// part, and false if no part may be sent before ctx is done.
func (p *viewPartLimiter) await(ctx context.Context, part bool) bool {
	if !part {
		return true
	}
	wait, free := p.reserve(time.Now())
	return free && pause.For(ctx, wait)
}
