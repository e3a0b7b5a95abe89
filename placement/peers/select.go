package peers

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

const (
	// maxPeers bounds the peers of a router.
	maxPeers = 8
	// maxOwnZone bounds those of its own zone while other zones have routers: a partition often
	// concerns a zone as a whole.
	maxOwnZone = 2
)

// Selection is the peers of one router, in no particular order.
type Selection struct {
	// Version is the version of the roster.
	Version uint64
	Peers   []Peer
}

// Select returns the peers of a router: routers that reach runners, first those of its own region. Those
// of one zone are taken from a position that depends on the router's name, so that the routers of a zone have
// different peers. Its cost grows with the number of zones, not of routers.
func (r *Roster) Select(name string) Selection {
	selected := Selection{Version: r.version}
	if r.zones == nil {
		r.index()
	}
	own := r.routers[name].Zone
	start := position(name)
	selected.take(r.zones[own], name, start, maxOwnZone)
	for _, zones := range r.otherZones(own) {
		selected.takeEvenly(r.zones, zones, start)
	}
	if selected.isFull() {
		return selected
	}
	selected.take(r.zones[own], name, start, maxPeers)
	return selected
}

func (s *Selection) isFull() bool { return len(s.Peers) >= maxPeers }

// take adds routers of one zone, from a position on, until limit are selected. It leaves out name and those
// selected before.
func (s *Selection) take(routers []Peer, name string, start uint64, limit int) {
	for offset := range routers {
		if len(s.Peers) >= min(limit, maxPeers) {
			return
		}
		each := routers[(start+uint64(offset))%uint64(len(routers))]
		if each.Router != name && !slices.Contains(s.Peers, each) {
			s.Peers = append(s.Peers, each)
		}
	}
}

// takeEvenly adds one router of each zone in turn. The first zone depends on the position, too.
func (s *Selection) takeEvenly(routers map[string][]Peer, zones []string, start uint64) {
	for round := uint64(0); ; round++ {
		isAny := false
		for offset := range zones {
			listed := routers[zones[(start+uint64(offset))%uint64(len(zones))]]
			if round >= uint64(len(listed)) {
				continue
			}
			if s.isFull() {
				return
			}
			isAny = true
			s.Peers = append(s.Peers, listed[(start+round)%uint64(len(listed))])
		}
		if !isAny {
			return
		}
	}
}

// otherZones returns the zones besides own: those of its region, and the others. Each list is sorted.
func (r *Roster) otherZones(own string) [2][]string {
	var zones [2][]string
	for zone := range r.zones {
		if zone == own {
			continue
		}
		distance := 0
		if r.regions[zone] != r.regions[own] {
			distance = 1
		}
		zones[distance] = append(zones[distance], zone)
	}
	slices.Sort(zones[0])
	slices.Sort(zones[1])
	return zones
}

// index sorts the routers that reach runners by zone.
func (r *Roster) index() {
	r.zones = make(map[string][]Peer)
	for _, each := range r.routers {
		if !each.IsCutOff {
			r.zones[each.Zone] = append(r.zones[each.Zone], each)
		}
	}
	for _, listed := range r.zones {
		slices.SortFunc(listed, func(a, b Peer) int { return cmp.Compare(a.Router, b.Router) })
	}
}

// position spreads names evenly.
func position(name string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name)
	return hash.Sum64() >> 1
}
