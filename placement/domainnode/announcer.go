package domainnode

import "time"

// announcePausePerRouter times the number of routers is the shortest pause between two views
// that all routers are told of: an answer to one router takes the leader a fifth of a
// millisecond of its share of a core, so that views take a fifth of it at most.
const announcePausePerRouter = time.Millisecond

// announcer decides when routers are told of a newer view. All of them learn of changes now
// and then, as each view costs an answer to each router. Those with requests that the news
// helps at once learn of it at once.
type announcer struct {
	// revision is the newest of which all routers were told, at the time at.
	revision uint64
	at       time.Time
	// changed is closed and replaced when all routers are told.
	changed chan struct{}
	// hurried has, by router, a channel with room for one.
	hurried map[string]chan struct{}
}

func newAnnouncer() *announcer {
	return &announcer{changed: make(chan struct{}), hurried: make(map[string]chan struct{})}
}

// announce tells all routers of a revision, however short ago they were told last.
func (a *announcer) announce(at time.Time, revision uint64) {
	a.revision, a.at = revision, at
	a.wakeAll()
}

// offer tells all routers of a revision if they were not told too short ago. It returns
// after how long it should be offered again, or 0.
func (a *announcer) offer(at time.Time, revision uint64, routers int) time.Duration {
	if revision == a.revision {
		return 0
	}
	left := time.Duration(routers)*announcePausePerRouter - at.Sub(a.at)
	if left > 0 && !a.at.IsZero() {
		return left
	}
	a.announce(at, revision)
	return 0
}

// hurry tells one router at once.
func (a *announcer) hurry(router string) {
	select {
	case a.hurriedOf(router) <- struct{}{}:
	default:
	}
}

// hurriedOf is the channel that tells a router to ask for the newest view at once.
func (a *announcer) hurriedOf(router string) chan struct{} {
	known := a.hurried[router]
	if known == nil {
		known = make(chan struct{}, 1)
		a.hurried[router] = known
	}
	return known
}

// forget drops what is kept of a router.
func (a *announcer) forget(router string) { delete(a.hurried, router) }

// wakeAll wakes whoever waits for a change.
func (a *announcer) wakeAll() {
	close(a.changed)
	a.changed = make(chan struct{})
}
