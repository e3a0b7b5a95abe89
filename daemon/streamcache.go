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
	// cacheInterval passes between two reads of the engines' cache events.
	cacheInterval = time.Second
	// cacheUse is how long after its last request an engine is still followed. An
	// engine that this router does not use tells it nothing that it needs, so that
	// the cost does not grow with the number of runners.
	cacheUse = 30 * time.Second
	// cacheReads bounds the reads of one round.
	cacheReads = 64
)

// followedEngine is where the reading of one engine's cache events stands.
type followedEngine struct {
	address     string
	usedAt      time.Time
	incarnation structs.Incarnation
	after       uint64
}

// use notes that a request goes to the engine. It is called under the lock.
func (r *requestRouter) use(runner structs.RunnerID, address string) {
	followed := r.followed[runner]
	if followed == nil {
		followed = &followedEngine{}
		r.followed[runner] = followed
	}
	followed.address = address
	followed.usedAt = time.Now()
}

// cacheLoop reads the cache events of the engines in use until ctx ends.
func (r *requestRouter) cacheLoop(ctx context.Context) {
	for pause.For(ctx, cacheInterval) {
		r.readCaches(ctx)
	}
}

// readCaches makes one round over the engines in use.
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

// enginesInUse returns the engines to read, and forgets those out of use.
func (r *requestRouter) enginesInUse() map[structs.RunnerID]followedEngine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := map[structs.RunnerID]followedEngine{}
	for runner, followed := range r.followed {
		if time.Since(followed.usedAt) > cacheUse {
			delete(r.followed, runner)
			continue
		}
		if len(list) < cacheReads {
			list[runner] = *followed
		}
	}
	return list
}

// takeCachePage notes how far the engine was read and returns the router's
// events. An engine with another incarnation has an empty cache and counts its
// events anew, which are read in the next round.
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

// cacheEvents translates one event of an engine.
func cacheEvents(runner structs.RunnerID, event engineapi.CacheEvent) []router.Event {
	translated := router.CacheEvent{
		Runner:   runner,
		Sequence: event.Sequence,
		Row:      event.Row,
		Evicted:  event.Kind != engineapi.CacheStored,
	}
	if event.Kind == engineapi.CacheCleared {
		// The row left the engine, so that no request for it is sent there. The
		// hints of other rows stay; the event only carries its sequence on.
		return []router.Event{translated}
	}
	events := make([]router.Event, 0, len(event.Blocks))
	for _, block := range event.Blocks {
		translated.PrefixHash = block
		events = append(events, translated)
	}
	return events
}

// stepAll hands events to the core together.
func (r *requestRouter) stepAll(events []router.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, event := range events {
		r.stepLocked(event)
	}
}
