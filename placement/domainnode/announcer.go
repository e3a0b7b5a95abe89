package domainnode

import (
	"sync/atomic"
	"time"

	"github.com/lotusferry/lotusferry/internal/wake"
)

// announceIntervalPerRouter times the number of routers is the minimum interval between
// two announcements to all routers. A reply takes the leader about 0.2 ms of CPU time, so
// replies to announcements take at most a fifth of a core.
const announceIntervalPerRouter = time.Millisecond

// stateVersions identifies the state that routers are notified of.
type stateVersions struct {
	// view is the revision of the view, document the version of the document, suspects the
	// revision of the list of suspected requests.
	view     uint64
	document uint64
	suspects uint64
}

// announcer decides when routers are notified of a new view or document. Announcements
// to all routers are rate-limited, because each costs a reply per router; of several
// documents in quick succession only the last is announced. A router with requests
// waiting for a change is notified immediately.
type announcer struct {
	// announced holds the latest versions announced to all routers, at announcedAt.
	announced   stateVersions
	announcedAt time.Time
	// changed is closed and replaced on each announcement.
	changed chan struct{}
	// notifications holds a channel of capacity one per router.
	notifications map[string]chan struct{}
	// count is the number of announcements.
	count atomic.Int64
}

func newAnnouncer() *announcer {
	return &announcer{changed: make(chan struct{}), notifications: make(map[string]chan struct{})}
}

// announce notifies all routers regardless of the rate limit.
func (a *announcer) announce(at time.Time, newest stateVersions) {
	a.announced, a.announcedAt = newest, at
	a.count.Add(1)
	a.wakeAll()
}

// announceIfDue notifies all routers of changed versions unless the rate limit forbids it.
// It returns the remaining wait, or 0 if nothing is left to announce.
func (a *announcer) announceIfDue(at time.Time, newest stateVersions, routers int) time.Duration {
	if newest == a.announced {
		return 0
	}
	left := time.Duration(routers)*announceIntervalPerRouter - at.Sub(a.announcedAt)
	if left > 0 && !a.announcedAt.IsZero() {
		return left
	}
	a.announce(at, newest)
	return 0
}

// notify notifies a single router immediately.
func (a *announcer) notify(router string) {
	wake.Up(a.notification(router))
}

// notification returns the channel that signals a router's watch to return immediately.
func (a *announcer) notification(router string) chan struct{} {
	known := a.notifications[router]
	if known == nil {
		known = make(chan struct{}, 1)
		a.notifications[router] = known
	}
	return known
}

func (a *announcer) forget(router string) { delete(a.notifications, router) }

// wakeAll wakes all waiting watches.
func (a *announcer) wakeAll() {
	close(a.changed)
	a.changed = make(chan struct{})
}
