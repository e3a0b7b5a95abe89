package paths

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// morePeersInterval is the time between two rounds of questions for a zone that fewer than activePeers reach.
const morePeersInterval = 10 * time.Second

// lostZone is a zone of which the direct way is lost.
type lostZone struct {
	since          time.Time
	isThroughPeers bool
	search         search
}

// ZoneLost records that the direct way to a zone is lost and returns the probes to make.
func (p *Paths) ZoneLost(now time.Time, zone structs.ZoneID) []Probe {
	if p.zones[zone] != nil {
		return nil
	}
	p.zones[zone] = &lostZone{since: now}
	for _, id := range p.listed.RunnersOf(zone) {
		delete(p.runners, id)
	}
	return p.askForZone(now, zone)
}

// ZoneReached records that the direct way to a zone is back.
func (p *Paths) ZoneReached(zone structs.ZoneID) { delete(p.zones, zone) }

// askForZone returns probes of a runner of the zone through the next peers.
func (p *Paths) askForZone(now time.Time, zone structs.ZoneID) []Probe {
	runners := p.listed.RunnersOf(zone)
	if len(runners) == 0 {
		return nil
	}
	return p.ask(now, &p.zones[zone].search, runners[p.random.IntN(len(runners))], zone, zone)
}

// stepZone gives a zone up for which no peer is left, and asks for one that too few peers reach.
func (p *Paths) stepZone(now time.Time, zone structs.ZoneID) ([]Change, []Probe) {
	lost := p.zones[zone]
	switch {
	case lost.isThroughPeers && !p.hasReacher(now, zone):
		lost.isThroughPeers, lost.search = false, search{}
		return []Change{{Zone: zone, After: now.Sub(lost.since)}}, nil
	case !lost.search.isDue(now), lost.isThroughPeers && p.provenPeers(now, zone) >= activePeers:
		return nil, nil
	}
	probes := p.askForZone(now, zone)
	if lost.isThroughPeers && len(probes) == 0 {
		lost.search.at = now.Add(morePeersInterval)
	}
	return nil, probes
}

// hasReacher reports whether a peer may reach the zone.
func (p *Paths) hasReacher(now time.Time, zone structs.ZoneID) bool {
	for _, each := range p.peers {
		if each.reaches(now, zone) {
			return true
		}
	}
	return false
}

// probedZone records the outcome of a probe for a whole zone. The first peer that reaches a runner is enough.
func (p *Paths) probedZone(now time.Time, probe Probe, outcome Outcome) []Change {
	lost := p.zones[probe.zone]
	if lost == nil || lost.search.number != probe.number {
		return nil
	}
	lost.search.pending--
	if outcome != OutcomeReached || lost.isThroughPeers {
		return nil
	}
	lost.isThroughPeers = true
	return []Change{{Zone: probe.zone, IsThroughPeers: true, Peer: probe.Path.Peer, After: now.Sub(lost.since)}}
}
