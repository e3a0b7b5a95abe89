package zonewatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Watch tracks which zones a router reaches. Use New to create one.
type Watch struct {
	random  *rand.Rand
	zones   map[structs.ZoneID]*zone
	runners map[structs.RunnerID]*runner
	// lastNumber is the number of the last suspicion or retry.
	lastNumber uint64
}

type runner struct {
	zone      *zone
	heardAt   time.Time
	isLeaving bool
}

// New returns a Watch without runners.
func New(random *rand.Rand) *Watch {
	return &Watch{
		random:  random,
		zones:   make(map[structs.ZoneID]*zone),
		runners: make(map[structs.RunnerID]*runner),
	}
}

// Add adds a runner or updates its zone and state.
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
	ids := added.idList()
	at, _ := slices.BinarySearch(*ids, info.ID)
	*ids = slices.Insert(*ids, at, info.ID)
}

// Remove removes a runner.
func (w *Watch) Remove(id structs.RunnerID) {
	known := w.runners[id]
	if known == nil {
		return
	}
	delete(w.runners, id)
	ids := known.idList()
	if at, isListed := slices.BinarySearch(*ids, id); isListed {
		*ids = slices.Delete(*ids, at, at+1)
	}
}

// idList returns the list of its zone that contains the runner.
func (r *runner) idList() *[]structs.RunnerID {
	if r.isLeaving {
		return &r.zone.leaving
	}
	return &r.zone.ids
}

func (w *Watch) zone(id structs.ZoneID) *zone {
	known := w.zones[id]
	if known == nil {
		known = &zone{id: id, confirms: minConfirms}
		w.zones[id] = known
	}
	return known
}

// ZoneOf returns the zone of a runner; empty if unknown.
func (w *Watch) ZoneOf(id structs.RunnerID) structs.ZoneID {
	if known := w.runners[id]; known != nil {
		return known.zone.id
	}
	return ""
}

// Sent records that a request was sent to a runner of the zone, as returned by ZoneOf.
func (w *Watch) Sent(now time.Time, id structs.ZoneID) {
	known := w.zones[id]
	if known == nil {
		return
	}
	if known.open == 0 {
		known.silentSince = now
	}
	known.open++
}

// Ended records that a request passed to Sent has ended, with any outcome.
func (w *Watch) Ended(id structs.ZoneID) {
	if known := w.zones[id]; known != nil && known.open > 0 {
		known.open--
	}
}

// ObserveData records that a runner sent data for a request.
func (w *Watch) ObserveData(now time.Time, id structs.RunnerID) {
	known := w.runners[id]
	if known == nil {
		return
	}
	known.heardAt = now
	heard := known.zone
	heard.heardAt = now
	if heard.refutations > 0 && now.Sub(heard.silentSince) < heard.silenceLimit()/2 {
		heard.refutations--
	}
	heard.silentSince = now
	heard.suspicion = nil
}

// Sample returns a probe of one runner in each reachable zone for which isWanted returns true, to measure the
// connect time.
func (w *Watch) Sample(isWanted func(structs.ZoneID) bool) []Probe {
	var probes []Probe
	for _, each := range w.sortedZones() {
		if !each.isLost && len(each.ids) > 0 && isWanted(each.id) {
			probes = append(probes, Probe{Zone: each.id, Runner: each.ids[w.random.IntN(len(each.ids))]})
		}
	}
	return probes
}

// IsLost reports whether a zone is unreachable.
func (w *Watch) IsLost(id structs.ZoneID) bool {
	known := w.zones[id]
	return known != nil && known.isLost
}

// IsIdle reports whether no request is open and no zone is unreachable or suspected.
func (w *Watch) IsIdle() bool {
	for _, each := range w.zones {
		if each.open > 0 || each.isLost || each.suspicion != nil {
			return false
		}
	}
	return true
}

// Len returns the number of zones.
func (w *Watch) Len() int { return len(w.zones) }

// Zones returns all zones, sorted.
func (w *Watch) Zones() []structs.ZoneID {
	ids := make([]structs.ZoneID, 0, len(w.zones))
	for _, each := range w.sortedZones() {
		ids = append(ids, each.id)
	}
	return ids
}

// Lost returns the number of unreachable zones.
func (w *Watch) Lost() int { return len(w.LostZones()) }

// LostZones returns the unreachable zones in no particular order.
func (w *Watch) LostZones() []structs.ZoneID {
	var lost []structs.ZoneID
	for id, each := range w.zones {
		if each.isLost {
			lost = append(lost, id)
		}
	}
	return lost
}

// RunnersOf returns the runners of a zone. The slice is shared and must not be modified.
func (w *Watch) RunnersOf(id structs.ZoneID) []structs.RunnerID {
	if known := w.zones[id]; known != nil {
		return known.ids
	}
	return nil
}

func (w *Watch) sortedZones() []*zone {
	listed := make([]*zone, 0, len(w.zones))
	for _, each := range w.zones {
		listed = append(listed, each)
	}
	slices.SortFunc(listed, func(a, b *zone) int { return cmp.Compare(a.id, b.id) })
	return listed
}
