package domainnode

import (
	"context"

	"github.com/lotusferry/lotusferry/placement/domain"
)

// maxKnownDepartures bounds the departures whose revision is remembered.
const maxKnownDepartures = 4096

// applyDeparture applies a committed departure and waits until the active routers have received it.
// A runner that got no answer repeats its call: that waits for the same revision, without another
// look at all runners and another announcement to all routers.
func (l *leadership) applyDeparture(ctx context.Context, departure domain.Departure) {
	revision, isKnown := l.knownDeparture(departure)
	if !isKnown {
		revision = l.publishDeparture(ctx, departure)
	}
	l.awaitRouters(ctx, revision)
}

// knownDeparture returns the revision from which views tell of a departure, if it has been published.
func (l *leadership) knownDeparture(departure domain.Departure) (revision uint64, isKnown bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	revision, isKnown = l.departures[departure]
	if isKnown {
		l.relays.await(l.now(), revision)
	}
	return revision, isKnown
}

// publishDeparture applies a departure and returns the revision of a view that tells of it.
func (l *leadership) publishDeparture(ctx context.Context, departure domain.Departure) uint64 {
	l.mutex.Lock()
	l.registry.Depart(l.now(), departure.Instance, departure.Gone)
	l.poison.Refute(l.now(), departure.Instance)
	changed := l.now()
	l.mutex.Unlock()
	revision, isPublished := l.refreshAfter(ctx, changed)
	if !isPublished {
		return revision
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.departures) >= maxKnownDepartures {
		clear(l.departures)
	}
	l.departures[departure] = revision
	return revision
}
