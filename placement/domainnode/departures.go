package domainnode

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/structs"
)

// maxPublishedDepartures bounds the departures that are remembered.
const maxPublishedDepartures = 4096

// publishedDeparture is a departure of which views tell.
type publishedDeparture struct {
	// revision is the first revision known to tell of it, published at the time at.
	revision uint64
	at       time.Time
}

// applyDeparture applies a committed departure and waits until the active routers have received it, at
// most for routerAckTimeout from when it was published. A runner that got no answer repeats its call:
// that causes no further look at all runners and no further announcement to all routers, and does not
// wait anew for routers that may be gone. It fails if ctx ends before the departure is published.
func (l *leadership) applyDeparture(ctx context.Context, departure domain.Departure) error {
	published, isPublished := l.publishedDeparture(departure)
	if !isPublished {
		published, isPublished = l.publishDeparture(ctx, departure)
	}
	if !isPublished {
		return structs.NewError(structs.ErrorDeadline, "the departure is stored, but no router knows of it yet", "Repeat the call.")
	}
	l.awaitRouters(ctx, published.revision, published.at.Add(routerAckTimeout))
	return nil
}

// publishedDeparture returns a departure that has been published.
func (l *leadership) publishedDeparture(departure domain.Departure) (published publishedDeparture, isPublished bool) {
	l.lock()
	defer l.mutex.Unlock()
	published, isPublished = l.departures[departure]
	if isPublished {
		l.relays.await(l.now(), published.revision)
	}
	return published, isPublished
}

// publishDeparture applies a departure and publishes a view that tells of it, unless ctx ends first.
func (l *leadership) publishDeparture(ctx context.Context, departure domain.Departure) (published publishedDeparture, isPublished bool) {
	l.lock()
	l.registry.Depart(l.now(), departure.Instance, departure.Gone)
	l.poison.Refute(l.now(), departure.Instance)
	changed := l.now()
	l.mutex.Unlock()
	published.revision, isPublished = l.refreshAfter(ctx, changed)
	if !isPublished {
		return published, false
	}
	l.lock()
	defer l.mutex.Unlock()
	if len(l.departures) >= maxPublishedDepartures {
		clear(l.departures)
	}
	published.at = l.now()
	l.departures[departure] = published
	return published, true
}
