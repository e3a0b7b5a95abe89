package domainnode

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/placement/domain"
)

// routerContact is what the leader knows of a router.
type routerContact struct {
	at time.Time
	// revision of the view that the router had when it last asked.
	revision uint64
}

// departed takes a committed departure and waits until the routers that are in
// contact have asked for more after they were told.
func (l *leadership) departed(ctx context.Context, departure domain.Departure) {
	l.mutex.Lock()
	l.registry.Depart(l.now(), departure.Instance, departure.Gone)
	l.poison.Refute(l.now(), departure.Instance)
	l.refresh(l.now())
	revision := l.views.Revision()
	l.announcer.announce(l.now(), l.news())
	l.mutex.Unlock()
	l.awaitTold(ctx, revision)
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
		if at.Sub(contact.at) < contactLife && contact.revision < revision {
			return false
		}
	}
	return true
}

// contact notes a call of a router and returns how many routers there are.
func (l *leadership) contact(router string, revision uint64) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.now()
	l.routers[router] = routerContact{at: at, revision: revision}
	for name, known := range l.routers {
		if at.Sub(known.at) > routerLife {
			delete(l.routers, name)
			l.announcer.forget(name)
			l.planner.ForgetRouter(name)
		}
	}
	return len(l.routers)
}
