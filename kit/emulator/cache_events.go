package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// maxRetainedEvents is the number of cache events that an engine retains.
	maxRetainedEvents = 1024
	// maxPageEvents is the number of cache events that one read returns at most.
	maxPageEvents = 256
)

type delayedEvent struct {
	event     engineapi.CacheEvent
	visibleAt time.Time
}

// cacheEventLog retains the newest cache events and delays their visibility.
type cacheEventLog struct {
	events []delayedEvent
	last   uint64
}

// add appends an event under the next sequence number. A lost event leaves a gap in the
// sequence.
func (l *cacheEventLog) add(visibleAt time.Time, kind engineapi.CacheEventKind, row structs.RowName, blocks []uint64, lossRate float64, random *rand.Rand) {
	l.last++
	if lossRate > 0 && random.Float64() < lossRate {
		return
	}
	if len(l.events) >= maxRetainedEvents {
		kept := copy(l.events, l.events[len(l.events)-maxRetainedEvents/2:])
		clear(l.events[kept:])
		l.events = l.events[:kept]
	}
	event := engineapi.CacheEvent{Sequence: l.last, Kind: kind, Row: row, Blocks: blocks}
	l.events = append(l.events, delayedEvent{event: event, visibleAt: visibleAt})
}

// page returns the events after the given sequence number that are visible at now.
func (l *cacheEventLog) page(now time.Time, after uint64) engineapi.EventPage {
	page := engineapi.EventPage{Next: after, Events: []engineapi.CacheEvent{}}
	for _, dated := range l.events {
		if dated.visibleAt.After(now) || len(page.Events) == maxPageEvents {
			break
		}
		if page.Oldest == 0 {
			page.Oldest = dated.event.Sequence
		}
		if dated.event.Sequence > after {
			page.Events = append(page.Events, dated.event)
			page.Next = dated.event.Sequence
		}
	}
	return page
}
