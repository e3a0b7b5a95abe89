package domainnode

import (
	"context"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/versions"
)

const (
	// refreshPauseFactor times the duration of the last refresh is the minimum pause before
	// the next one caused by departures, so that concurrent departures share refreshes and
	// these take at most a quarter of the leader's time.
	refreshPauseFactor = 3
	// maxRefreshPause bounds that pause, so that departures are acknowledged within some
	// hundred milliseconds.
	maxRefreshPause = 150 * time.Millisecond
)

// refresh reads the state of all runners and publishes a new view. The caller holds the mutex.
func (l *leadership) refresh(at time.Time) {
	l.statuses = l.registry.Runners(at)
	l.markDrained(l.statuses)
	l.markCold(at, l.statuses)
	l.markRateLimits(l.statuses)
	l.markBrittle(at, l.statuses)
	l.planner.SetRunners(at, l.statuses)
	l.updateLost(l.statuses)
	l.forgetFailing(at, l.statuses)
	l.publish(at)
	l.refreshedAt = l.now()
	l.refreshDuration = l.refreshedAt.Sub(at)
	l.node.workload.addRefresh(l.refreshDuration)
}

// publish publishes a view of the runners as of the last refresh. The caller holds the mutex.
func (l *leadership) publish(at time.Time) {
	view := fleet.View{Complete: l.registry.Complete(at), Gone: l.registry.Gone()}
	view.Runners = l.views.Spare()
	unlisted := l.unlistedVersions()
	for i := range l.statuses {
		status := &l.statuses[i]
		heartbeat := &status.Heartbeat
		if len(unlisted) > 0 && slices.Contains(unlisted, versions.Key{Service: heartbeat.Service, Version: heartbeat.Version}) {
			// A router or a leader that does not know the version would let its streams go on at another one.
			view.Complete = false
			continue
		}
		published := l.planner.Published(heartbeat.Instance, i)
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: heartbeat.Instance,
			Service:  heartbeat.Service,
			Address:  heartbeat.Address,
			Zone:     heartbeat.Zone,
			Version:  heartbeat.Version,
			Slots:    heartbeat.Slots,
			Leaving:  status.Leaving || status.Lost,
			Slow:     published.IsSlow,
			Pace:     published.Pace,
			Failing:  l.failing.IsFailing(at, heartbeat.Instance),
			Cold:     status.Cold,
			Limit:    status.Limit,
			Brittle:  status.Brittle,
			Recalled: status.Recalled,
			Models:   published.Models,
		})
	}
	l.drainView(at, view.Runners)
	l.views.Publish(view)
}

// refreshAfter ensures that a view newer than the given time is announced to all routers, unless ctx ends
// first, and returns its revision. Concurrent calls share a refresh.
func (l *leadership) refreshAfter(ctx context.Context, changed time.Time) (revision uint64, isPublished bool) {
	for {
		l.lock()
		at := l.now()
		rest := min(maxRefreshPause, refreshPauseFactor*l.refreshDuration) - at.Sub(l.refreshedAt)
		if rest <= 0 && !l.refreshedAt.After(changed) {
			l.refresh(at)
		}
		isPublished, revision = l.refreshedAt.After(changed), l.views.Revision()
		if isPublished {
			l.relays.await(l.now(), revision)
		}
		if isPublished && l.announcer.announced.view < revision {
			l.announcer.announce(l.now(), l.currentVersions())
		}
		l.mutex.Unlock()
		if isPublished || !pause.For(ctx, max(routerPollInterval, rest)) {
			return revision, isPublished
		}
	}
}

// noteTermChange records whether a router comes from another leader. In a large fleet such a
// router receives only changes until the full view is due.
func (l *leadership) noteTermChange(arguments *domainapi.WatchArguments) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if arguments.Term == uint64(l.term) {
		return
	}
	isNew := arguments.Term == 0 || arguments.Revision == 0
	known := l.routers[arguments.Router]
	known.lacksFullView = !isNew && l.views.IsLarge(l.now())
	known.wantsFullView = false
	l.routers[arguments.Router] = known
}

// takeFullViewTurn reports whether the router is due for the full view that it lacks, and
// reserves the slot.
func (l *leadership) takeFullViewTurn(arguments *domainapi.WatchArguments) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.routers[arguments.Router]
	if !known.lacksFullView || arguments.Term != uint64(l.term) {
		return false
	}
	whole, revision, err := l.views.Whole(l.now(), 0)
	if err != nil || revision < arguments.Revision {
		// A view older than the router's would drop what it knows; a later encoding does not.
		return false
	}
	if _, isTaken := l.fullViewPacer.reserve(l.now(), len(whole.Bytes), 0); !isTaken {
		return false
	}
	known.lacksFullView = false
	l.routers[arguments.Router] = known
	return true
}

// takeWantedFullView reports whether a router must get the full view now because its requests
// wait for it. The caller holds the mutex.
func (l *leadership) takeWantedFullView(router string) bool {
	known := l.routers[router]
	if !known.wantsFullView {
		return false
	}
	known.lacksFullView, known.wantsFullView = false, false
	l.routers[router] = known
	return true
}

// viewFor returns the view to send to a router that has the revision known, and the revision
// that it has afterwards. The caller holds the mutex.
func (l *leadership) viewFor(router string, known uint64) (view fleet.EncodedView, revision uint64, err error) {
	switch {
	case l.routers[router].lacksFullView:
		view, err = l.views.EncodedTakeoverChangesSince(known)
	case known == 0:
		return l.views.Whole(l.now(), l.routers[router].revision)
	default:
		view, err = l.views.EncodedSince(known)
	}
	return view, l.views.Revision(), err
}
