package zonewatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Watch knows which zones a router reaches. Make one with New.
type Watch struct {
	random  *rand.Rand
	zones   map[structs.ZoneID]*zone
	runners map[structs.RunnerID]*runner
	// lastNumber is that of the last suspicion or try.
	lastNumber uint64
}

type runner struct {
	zone      *zone
	heardAt   time.Time
	isLeaving bool
}

// New makes a Watch that knows no runner.
func New(random *rand.Rand) *Watch {
	return &Watch{
		random:  random,
		zones:   make(map[structs.ZoneID]*zone),
		runners: make(map[structs.RunnerID]*runner),
	}
}

// Add adopts a runner, or what is new of it.
func (w *Watch) Add(info structs.RunnerInfo) {
	known := w.runners[info.ID]
	if known != nil && known.zone.id == info.Zone && known.isLeaving == info.Leaving {
		return
	}
	heardAt := time.Time{}
	if known != nil {
		heardAt = known.heardAt
		w.Remove(info.ID)
	}
	if info.Zone == "" {
		return
	}
	added := &runner{zone: w.zone(info.Zone), heardAt: heardAt, isLeaving: info.Leaving}
	w.runners[info.ID] = added
	ids := added.list()
	at, _ := slices.BinarySearch(*ids, info.ID)
	*ids = slices.Insert(*ids, at, info.ID)
}

// Remove forgets a runner.
func (w *Watch) Remove(id structs.RunnerID) {
	known := w.runners[id]
	if known == nil {
		return
	}
	delete(w.runners, id)
	ids := known.list()
	if at, isListed := slices.BinarySearch(*ids, id); isListed {
		*ids = slices.Delete(*ids, at, at+1)
	}
}

// list is where the runner is listed in its zone.
func (r *runner) list() *[]structs.RunnerID {
	if r.isLeaving {
		return &r.zone.leaving
	}
	return &r.zone.ids
}

func (w *Watch) zone(id structs.ZoneID) *zone {
	known := w.zones[id]
	if known == nil {
		known = &zone{id: id, confirms: leastConfirms}
		w.zones[id] = known
	}
	return known
}

// ZoneOf names the zone of a runner; empty if it is not known.
func (w *Watch) ZoneOf(id structs.RunnerID) structs.ZoneID {
	if known := w.runners[id]; known != nil {
		return known.zone.id
	}
	return ""
}

// Sent notes that a request went to a runner of the zone, as ZoneOf named it.
func (w *Watch) Sent(now time.Time, id structs.ZoneID) {
	known := w.zones[id]
	if known == nil {
		return
	}
	if known.open == 0 {
		known.quietSince = now
	}
	known.open++
}

// Ended notes that a request that was Sent is over, however it ended.
func (w *Watch) Ended(id structs.ZoneID) {
	if known := w.zones[id]; known != nil && known.open > 0 {
		known.open--
	}
}

// Heard notes that a runner sent something for a request.
func (w *Watch) Heard(now time.Time, id structs.RunnerID) {
	known := w.runners[id]
	if known == nil {
		return
	}
	known.heardAt = now
	heard := known.zone
	heard.heardAt = now
	if heard.refuted > 0 && now.Sub(heard.quietSince) < heard.patience()/2 {
		heard.refuted--
	}
	heard.quietSince = now
	heard.round = nil
}

// Sample picks a runner of each zone in reach for which it is wanted, to learn how long a connect takes.
func (w *Watch) Sample(isWanted func(structs.ZoneID) bool) []Probe {
	var probes []Probe
	for _, each := range w.sorted() {
		if !each.isLost && len(each.ids) > 0 && isWanted(each.id) {
			probes = append(probes, Probe{Zone: each.id, Runner: each.ids[w.random.IntN(len(each.ids))]})
		}
	}
	return probes
}

// IsLost reports whether a zone is out of reach.
func (w *Watch) IsLost(id structs.ZoneID) bool {
	known := w.zones[id]
	return known != nil && known.isLost
}

// IsQuiet reports whether nothing is expected of any zone: no request is under way, and none is out of reach or
// asked.
func (w *Watch) IsQuiet() bool {
	for _, each := range w.zones {
		if each.open > 0 || each.isLost || each.round != nil {
			return false
		}
	}
	return true
}

// Len counts the zones.
func (w *Watch) Len() int { return len(w.zones) }

// Lost counts the zones that are out of reach.
func (w *Watch) Lost() int {
	count := 0
	for _, each := range w.zones {
		if each.isLost {
			count++
		}
	}
	return count
}

// RunnersOf lists the runners of a zone. The slice is shared and must not be changed.
func (w *Watch) RunnersOf(id structs.ZoneID) []structs.RunnerID {
	if known := w.zones[id]; known != nil {
		return known.ids
	}
	return nil
}

func (w *Watch) sorted() []*zone {
	listed := make([]*zone, 0, len(w.zones))
	for _, each := range w.zones {
		listed = append(listed, each)
	}
	slices.SortFunc(listed, func(a, b *zone) int { return cmp.Compare(a.id, b.id) })
	return listed
}
