package domainnode

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// routerContact is what the leader knows of a router.
type routerContact struct {
	at time.Time
	// revision of the view that the router had when it last asked.
	revision uint64
	// hold is how long its watch is held at most.
	hold time.Duration
	// isBehind is set while the router has not got the whole view of this leader: it knows that of the one before,
	// and what is new since.
	isBehind bool
	// wantsWhole is set if its requests wait for what may be in the whole view alone.
	wantsWhole bool
}

// holdPerRouter times the number of routers is how long each of their watches is held without news, so that
// thousands of answers a second that tell nothing don't take a leader's time: an answer takes a fifth of a
// millisecond of its share of a core.
const holdPerRouter = time.Millisecond

// holdTime is how long a watch is held without news, of a router that waits for so long at most.
func holdTime(routers int, most time.Duration) time.Duration {
	hold := max(domainapi.LeastHold, time.Duration(routers)*holdPerRouter)
	return min(hold, domainapi.MostHold, max(domainapi.LeastHold, most))
}

// departed takes a committed departure and waits until the routers that are in
// contact have asked for more after they were told.
func (l *leadership) departed(ctx context.Context, departure domain.Departure) {
	l.mutex.Lock()
	l.registry.Depart(l.now(), departure.Instance, departure.Gone)
	l.poison.Refute(l.now(), departure.Instance)
	changed := l.now()
	l.mutex.Unlock()
	l.awaitTold(ctx, l.refreshAfter(ctx, changed))
}

// awaitTold waits until the routers that are in contact have asked for more after they were told of a
// revision, at most for tellTimeout.
func (l *leadership) awaitTold(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	for {
		l.mutex.Lock()
		isTold, changed := l.areTold(l.now(), revision), l.announcer.changed
		l.mutex.Unlock()
		if isTold {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(tellPause):
		}
	}
}

// tellPause separates two looks at what the routers know.
const tellPause = 10 * time.Millisecond

// areTold reports whether every router in contact knows the revision. It runs under
// the mutex.
func (l *leadership) areTold(at time.Time, revision uint64) bool {
	for _, contact := range l.routers {
		if at.Sub(contact.at) < contact.hold+contactMargin && contact.revision < revision {
			return false
		}
	}
	return true
}

// contact notes a watch of a router, which is held for a time at most, and returns how many routers there are.
func (l *leadership) contact(router string, revision uint64, most time.Duration) (routers int, hold time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	hold = holdTime(len(l.routers), most)
	known := l.routers[router]
	known.at, known.revision, known.hold = at, revision, hold
	l.routers[router] = known
	for name, known := range l.routers {
		if at.Sub(known.at) > routerLife {
			delete(l.routers, name)
			l.announcer.forget(name)
			l.planner.ForgetRouter(name)
		}
	}
	return len(l.routers), hold
}
