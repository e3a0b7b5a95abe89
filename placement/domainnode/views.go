package domainnode

import (
	"context"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

const (
	// refreshRest times what a look at all runners took is the shortest pause before the next one for departures
	// alone: where hundreds of runners leave together they share a few looks, which take a quarter of the leader's
	// time at most.
	refreshRest = 3
	// maxRefreshRest bounds it: a departure is acknowledged within some hundreds of milliseconds.
	maxRefreshRest = 150 * time.Millisecond
)

// refresh looks at all runners and makes the view anew. It runs under the mutex.
func (l *leadership) refresh(at time.Time) {
	l.statuses = l.registry.Runners(at)
	l.drainStatuses(l.statuses)
	l.coolStatuses(at, l.statuses)
	l.limitStatuses(l.statuses)
	l.planner.SetRunners(at, l.statuses)
	l.noteLost(l.statuses)
	l.forgetFailing(at, l.statuses)
	l.publish(at)
	l.refreshedAt = l.now()
	l.refreshTook = l.refreshedAt.Sub(at)
}

// publish makes the view of the runners as they stood at the last look. It runs under the mutex.
func (l *leadership) publish(at time.Time) {
	view := fleet.View{Complete: l.registry.Complete(at), Gone: l.registry.Gone()}
	view.Runners = l.views.Spare()
	for i := range l.statuses {
		status := &l.statuses[i]
		heartbeat := &status.Heartbeat
		view.Runners = append(view.Runners, fleet.Runner{
			Instance: heartbeat.Instance,
			Service:  heartbeat.Service,
			Address:  heartbeat.Address,
			Zone:     heartbeat.Zone,
			Slots:    heartbeat.Slots,
			Leaving:  status.Leaving || status.Lost,
			Slow:     l.planner.IsSlow(heartbeat.Instance),
			Pace:     l.planner.Pace(heartbeat.Instance),
			Failing:  l.failing.IsFailing(at, heartbeat.Instance),
			Cold:     status.Cold,
			Limit:    status.Limit,
			Recalled: status.Recalled,
			Models:   l.planner.Loaded(heartbeat.Instance),
		})
	}
	l.drainRunners(at, view.Runners)
	l.views.Publish(view)
}

// refreshAfter makes a view that tells of what was changed at a time, unless there is one already, has all routers
// told of it, and returns its revision. Changes that come together share a look.
func (l *leadership) refreshAfter(ctx context.Context, changed time.Time) uint64 {
	for {
		l.mutex.Lock()
		at := l.now()
		rest := min(maxRefreshRest, refreshRest*l.refreshTook) - at.Sub(l.refreshedAt)
		if rest <= 0 && !l.refreshedAt.After(changed) {
			l.refresh(at)
		}
		isTold, revision := l.refreshedAt.After(changed), l.views.Revision()
		if isTold && l.announcer.told.revision < revision {
			l.announcer.announce(l.now(), l.news())
		}
		l.mutex.Unlock()
		if isTold || !pause.For(ctx, max(tellPause, rest)) {
			return revision
		}
	}
}

// greet notes a router that followed the leader before. Of a large fleet it knows all that leader told it, so that it
// is told only what is new until its turn for the whole view comes.
func (l *leadership) greet(arguments *domainapi.WatchArguments) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if arguments.Term == uint64(l.term) {
		return
	}
	isNew := arguments.Term == 0 || arguments.Revision == 0
	known := l.routers[arguments.Router]
	known.isBehind = !isNew && l.views.IsLarge(l.now())
	known.wantsWhole = false
	l.routers[arguments.Router] = known
}

// takesWholeView reports whether the router's turn for the whole view has come. Until then it is told what is new.
func (l *leadership) takesWholeView(arguments *domainapi.WatchArguments) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.routers[arguments.Router]
	if !known.isBehind || arguments.Term != uint64(l.term) {
		return false
	}
	whole, revision, err := l.views.Whole(l.now(), 0)
	if err != nil || revision < arguments.Revision {
		// It would tell the router less than it knows; the next one that is encoded does not.
		return false
	}
	if _, isTaken := l.wholeViews.reserve(l.now(), len(whole.Bytes), 0); !isTaken {
		return false
	}
	known.isBehind = false
	l.routers[arguments.Router] = known
	return true
}

// takeWanted reports whether a router is to get the whole view now, as its requests wait. It runs under the mutex.
func (l *leadership) takeWanted(router string) bool {
	known := l.routers[router]
	if !known.wantsWhole {
		return false
	}
	known.isBehind, known.wantsWhole = false, false
	l.routers[router] = known
	return true
}

// viewFor is the view that a router is sent that knows a revision, and what it knows then. It runs under the mutex.
func (l *leadership) viewFor(router string, known uint64) (view fleet.EncodedView, revision uint64, err error) {
	switch {
	case l.routers[router].isBehind:
		view, err = l.views.EncodedNewsSince(known)
	case known == 0:
		return l.views.Whole(l.now(), l.routers[router].revision)
	default:
		view, err = l.views.EncodedSince(known)
	}
	return view, l.views.Revision(), err
}
