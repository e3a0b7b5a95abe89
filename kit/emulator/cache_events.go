package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// keptEvents is how many cache events an engine keeps at most.
	keptEvents = 1024
	// pageEvents is how many cache events one read returns at most.
	pageEvents = 256
)

type datedEvent struct {
	event     engineapi.CacheEvent
	visibleAt time.Time
}

// cacheEventLog keeps the newest cache events and shows them late.
type cacheEventLog struct {
	events []datedEvent
	last   uint64
}

// add numbers an event. A lost event takes a number and is never shown.
func (l *cacheEventLog) add(visibleAt time.Time, kind engineapi.CacheEventKind, row structs.RowName, blocks []uint64, lossRate float64, random *rand.Rand) {
	l.last++
	if lossRate > 0 && random.Float64() < lossRate {
		return
	}
	if len(l.events) >= keptEvents {
		kept := copy(l.events, l.events[len(l.events)-keptEvents/2:])
		clear(l.events[kept:])
		l.events = l.events[:kept]
	}
	event := engineapi.CacheEvent{Sequence: l.last, Kind: kind, Row: row, Blocks: blocks}
	l.events = append(l.events, datedEvent{event: event, visibleAt: visibleAt})
}

// page returns the events after the given sequence that show at now.
func (l *cacheEventLog) page(now time.Time, after uint64) engineapi.EventPage {
	page := engineapi.EventPage{Next: after, Events: []engineapi.CacheEvent{}}
	for _, dated := range l.events {
		if dated.visibleAt.After(now) || len(page.Events) == pageEvents {
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
