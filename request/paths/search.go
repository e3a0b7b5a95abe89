package paths

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// firstAsked and nextAsked are the numbers of peers asked at a time, the first time and then. A runner that
	// has ended is usually unlisted before the second time.
	firstAsked = 2
	nextAsked  = 3
	// askDelay is the time until the next peers are asked. Once all have been asked, it is minAskInterval, which
	// doubles up to maxAskInterval.
	askDelay       = 100 * time.Millisecond
	minAskInterval = 250 * time.Millisecond
	maxAskInterval = 2 * time.Second
)

// search is the search for a peer that reaches a runner, or a zone.
type search struct {
	// asked are the addresses of the peers asked in this round.
	asked    map[string]bool
	interval time.Duration
	// at is when the next peers are asked, pending the number of probes under way.
	at      time.Time
	pending int
	// number identifies the probes.
	number uint64
}

// isDue reports whether the next peers are to be asked.
func (s *search) isDue(now time.Time) bool { return s.pending == 0 && !now.Before(s.at) }

// next returns the next peers to ask, those that may reach the zone.
func (p *Paths) next(now time.Time, s *search, zone structs.ZoneID) []*peer {
	count := nextAsked
	if s.asked == nil {
		s.asked, count = make(map[string]bool), firstAsked
	}
	var unasked []*peer
	for _, each := range p.peers {
		if each.reaches(now, zone) && !s.asked[each.Address] {
			unasked = append(unasked, each)
		}
	}
	unasked = spread(unasked, count)
	for _, each := range unasked {
		s.asked[each.Address] = true
	}
	s.at = now.Add(askDelay)
	if len(unasked) == 0 {
		clear(s.asked)
		s.interval = min(maxAskInterval, max(minAskInterval, 2*s.interval))
		s.at = now.Add(s.interval)
	}
	return unasked
}

// spread returns up to count peers, by preference of different zones.
func spread(peers []*peer, count int) []*peer {
	var chosen, rest []*peer
	seen := make(map[structs.ZoneID]bool)
	for _, each := range peers {
		if seen[each.Zone] {
			rest = append(rest, each)
			continue
		}
		seen[each.Zone] = true
		chosen = append(chosen, each)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(count, len(chosen))]
}

// ask returns probes of a runner through the next peers. zone is set in the probes for a whole zone.
func (p *Paths) ask(now time.Time, s *search, runner structs.RunnerID, of, zone structs.ZoneID) []Probe {
	p.lastNumber++
	s.number = p.lastNumber
	var probes []Probe
	for _, each := range p.next(now, s, of) {
		probes = append(probes, Probe{Runner: runner, Path: Path{Peer: each.Address}, runnerZone: of, zone: zone, number: s.number})
	}
	s.pending = len(probes)
	return probes
}
