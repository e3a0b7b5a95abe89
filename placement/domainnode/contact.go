package domainnode

import (
	"context"
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
)

// routerContact is the leader's state of a router.
type routerContact struct {
	at time.Time
	// revision is the revision of the router's view when it last asked.
	revision uint64
	// hold is the maximum hold time of its watches.
	hold time.Duration
	// lacksFullView is set while the router has only the previous leader's view and the
	// changes since.
	lacksFullView bool
	// wantsFullView is set if its requests wait for a model that may be listed only in the
	// full view.
	wantsFullView bool
	// relay is the name of the relay that answers its watches; empty if it asks the leader.
	relay string
}

// holdPerRouter times the number of routers is how long watches are held without changes.
// It bounds the CPU time that the leader spends on replies without changes: a reply takes
// about 0.2 ms.
const holdPerRouter = time.Millisecond

// holdDuration returns how long to hold a watch of a router that waits at most the given
// time.
func holdDuration(routers int, most time.Duration) time.Duration {
	hold := max(domainapi.MinHold, time.Duration(routers)*holdPerRouter)
	return min(hold, domainapi.MaxHold, max(domainapi.MinHold, most))
}

// awaitRouters waits until all active routers have received a revision, at most until the given time. A
// router acknowledges a revision with its next watch.
func (l *leadership) awaitRouters(ctx context.Context, revision uint64, until time.Time) {
	ctx, cancel := context.WithTimeout(ctx, until.Sub(l.now()))
	defer cancel()
	for {
		l.mutex.Lock()
		isReceived, changed := l.seenRevisionLately(l.now()) >= revision, l.announcer.changed
		l.mutex.Unlock()
		if isReceived {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(routerPollInterval):
		}
	}
}

// routerPollInterval is the interval between checks of the routers' revisions.
const routerPollInterval = 10 * time.Millisecond

// haveRoutersSeen reports whether every active router has the revision. The caller holds the mutex.
func (l *leadership) haveRoutersSeen(at time.Time, revision uint64) bool {
	return l.lowestRevision(at) >= revision
}

// seenRevisionLately returns the revision that every active router had at most routerPollInterval ago.
// Many departures wait at the same time, and share the look at all routers. The caller holds the mutex.
func (l *leadership) seenRevisionLately(at time.Time) uint64 {
	if l.seenAt.IsZero() || at.Sub(l.seenAt) >= routerPollInterval {
		l.seenAt, l.seenRevision = at, l.lowestRevision(at)
	}
	return l.seenRevision
}

// lowestRevision returns the highest revision that every active router has. The caller holds the mutex.
func (l *leadership) lowestRevision(at time.Time) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, contact := range l.routers {
		if at.Sub(contact.at) < contact.hold+contactMargin {
			lowest = min(lowest, contact.revision)
		}
	}
	return lowest
}

// recordContact records a watch of a router, drops expired routers and returns the number
// of routers and the hold time.
func (l *leadership) recordContact(router string, revision uint64, most time.Duration) (routers int, hold time.Duration) {
	l.lock()
	defer l.mutex.Unlock()
	at := l.now()
	hold = holdDuration(len(l.routers), most)
	known := l.routers[router]
	known.at, known.revision, known.hold, known.relay = at, revision, hold, ""
	l.routers[router] = known
	l.noteContactExpiry(known)
	l.expireContacts(at)
	return len(l.routers), hold
}

// expireContacts drops expired routers. It goes through them only once one may have expired. The
// caller holds the mutex.
func (l *leadership) expireContacts(at time.Time) {
	if !at.After(l.contactsValidUntil) {
		return
	}
	l.contactsValidUntil = at.Add(routerExpiry)
	for name, known := range l.routers {
		if at.Sub(known.at) > routerExpiry {
			delete(l.routers, name)
			l.announcer.forget(name)
			l.planner.ForgetRouter(name)
			l.peers.Remove(name)
			continue
		}
		l.noteContactExpiry(known)
	}
}

// noteContactExpiry records when a router expires unless it asks again. The caller holds the mutex.
func (l *leadership) noteContactExpiry(contact routerContact) {
	if until := contact.at.Add(routerExpiry); until.Before(l.contactsValidUntil) {
		l.contactsValidUntil = until
	}
}
