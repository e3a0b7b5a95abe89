package domainnode

import (
	"time"

	"github.com/lotusferry/lotusferry/internal/wake"
)

// announcePausePerRouter times the number of routers is the shortest pause between two
// announcements to all routers: an answer to one router takes the leader a fifth of a
// millisecond of its share of a core, so that they take a fifth of it at most.
const announcePausePerRouter = time.Millisecond

// news is what routers are told of.
type news struct {
	// revision is that of the view, document the version of the document, suspects the
	// revision of the list of requests that may crash runners.
	revision uint64
	document uint64
	suspects uint64
}

// announcer decides when routers are told of a newer view or document. All of them learn of
// changes now and then, as each costs an answer to each router: of documents that follow each
// other quickly only the last. Those with requests that a view helps at once learn of it at
// once.
type announcer struct {
	// told is the newest of which all routers were told, at the time at.
	told news
	at   time.Time
	// changed is closed and replaced when all routers are told.
	changed chan struct{}
	// notifications has, by router, a channel with room for one.
	notifications map[string]chan struct{}
}

func newAnnouncer() *announcer {
	return &announcer{changed: make(chan struct{}), notifications: make(map[string]chan struct{})}
}

// announce tells all routers of news, however short ago they were told last.
func (a *announcer) announce(at time.Time, newest news) {
	a.told, a.at = newest, at
	a.wakeAll()
}

// offer tells all routers of news if they were not told too short ago. It returns after how
// long they should be offered again, or 0.
func (a *announcer) offer(at time.Time, newest news, routers int) time.Duration {
	if newest == a.told {
		return 0
	}
	left := time.Duration(routers)*announcePausePerRouter - at.Sub(a.at)
	if left > 0 && !a.at.IsZero() {
		return left
	}
	a.announce(at, newest)
	return 0
}

// notify tells one router at once.
func (a *announcer) notify(router string) {
	wake.Up(a.notification(router))
}

// notification is the channel that tells a router to ask for the newest view at once.
func (a *announcer) notification(router string) chan struct{} {
	known := a.notifications[router]
	if known == nil {
		known = make(chan struct{}, 1)
		a.notifications[router] = known
	}
	return known
}

// forget drops what is kept of a router.
func (a *announcer) forget(router string) { delete(a.notifications, router) }

// wakeAll wakes whoever waits for a change.
func (a *announcer) wakeAll() {
	close(a.changed)
	a.changed = make(chan struct{})
}
