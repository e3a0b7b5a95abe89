package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// cachePollInterval is the time between reads of the engines' cache events.
	cachePollInterval = time.Second
	// followTimeout is how long after its last request an engine's events are read.
	// Only engines in use matter to this router, so the cost does not grow with the
	// number of runners.
	followTimeout = 30 * time.Second
	// maxCacheReads bounds the engines read in one round.
	maxCacheReads = 64
)

// followedEngine is the position in one engine's cache events.
type followedEngine struct {
	address     string
	usedAt      time.Time
	incarnation structs.Incarnation
	after       uint64
}

// use records that a request is sent to the engine. The caller must hold r.mutex.
func (r *requestRouter) use(runner structs.RunnerID, address string) {
	followed := r.followed[runner]
	if followed == nil {
		followed = &followedEngine{}
		r.followed[runner] = followed
	}
	followed.address = address
	followed.usedAt = time.Now()
}

// cacheLoop reads the cache events of the engines in use until ctx is done.
func (r *requestRouter) cacheLoop(ctx context.Context) {
	for pause.For(ctx, cachePollInterval) {
		r.readCaches(ctx)
	}
}

// readCaches reads the events of the engines in use once.
func (r *requestRouter) readCaches(ctx context.Context) {
	var reads sync.WaitGroup
	for runner, followed := range r.enginesInUse() {
		reads.Go(func() {
			page, err := r.engines.Events(ctx, followed.address, followed.after)
			if err != nil {
				level.Debug(r.logger).Log("msg", "The cache events could not be read.", "runner", runner, "err", err)
				return
			}
			r.stepAll(r.takeCachePage(runner, page))
		})
	}
	reads.Wait()
}

// enginesInUse returns the engines to read, and removes those no longer in use.
func (r *requestRouter) enginesInUse() map[structs.RunnerID]followedEngine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := map[structs.RunnerID]followedEngine{}
	for runner, followed := range r.followed {
		if time.Since(followed.usedAt) > followTimeout {
			delete(r.followed, runner)
			continue
		}
		if len(list) < maxCacheReads {
			list[runner] = *followed
		}
	}
	return list
}

// takeCachePage advances the position in the engine's events and returns the events for
// the router core. An engine with a new incarnation has an empty cache and numbers its
// events from the start; they are read in the next round.
func (r *requestRouter) takeCachePage(runner structs.RunnerID, page engineapi.EventPage) []router.Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	followed := r.followed[runner]
	if followed == nil {
		return nil
	}
	restarted := followed.incarnation != 0 && followed.incarnation != page.Incarnation
	followed.incarnation = page.Incarnation
	if restarted {
		followed.after = 0
		return []router.Event{router.CacheEvent{Runner: runner, Cleared: true}}
	}
	followed.after = max(followed.after, page.Next)
	var events []router.Event
	for _, event := range page.Events {
		events = append(events, cacheEvents(runner, event)...)
	}
	return events
}

// cacheEvents converts an engine's event to events of the router core.
func cacheEvents(runner structs.RunnerID, event engineapi.CacheEvent) []router.Event {
	translated := router.CacheEvent{
		Runner:   runner,
		Sequence: event.Sequence,
		Row:      event.Row,
		Evicted:  event.Kind != engineapi.CacheStored,
	}
	if event.Kind == engineapi.CacheCleared {
		// The row was unloaded, so no request for it is sent to the engine. The hints
		// of other rows remain valid; the event only advances the sequence.
		return []router.Event{translated}
	}
	events := make([]router.Event, 0, len(event.Blocks))
	for _, block := range event.Blocks {
		translated.PrefixHash = block
		events = append(events, translated)
	}
	return events
}

// stepAll passes events to the core in one critical section.
func (r *requestRouter) stepAll(events []router.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range events {
		r.stepLocked(event)
	}
}
