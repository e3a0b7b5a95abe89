package paths

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// lostRunner is a runner of which the direct way is lost or doubted.
type lostRunner struct {
	zone           structs.ZoneID
	since, usedAt  time.Time
	isThroughPeers bool
	search         search
	// reachedBy is the peer that reached it in this round of the search, and hasMissed is set once a direct connect
	// of this round has failed: a runner that was silent for a moment is reached again by all.
	reachedBy string
	hasMissed bool
	direct    directWay
}

// directWay is the state of the tries of the direct way to a runner.
type directWay struct {
	// number is that of the probe under way; 0 for none.
	number uint64
	// at is when the next try is due, interval the time between two tries.
	at       time.Time
	interval time.Duration
	// confirmed counts the tries in a row that succeeded.
	confirmed int
}

// Remove drops a runner.
func (p *Paths) Remove(runner structs.RunnerID) {
	delete(p.runners, runner)
	for _, each := range p.peers {
		delete(each.reached, runner)
	}
}

// doubt has peers asked for a runner to which a direct connect failed.
func (p *Paths) doubt(now time.Time, failed failure) []Probe {
	if p.runners[failed.runner] != nil {
		return nil
	}
	p.runners[failed.runner] = &lostRunner{zone: failed.zone, since: now, usedAt: now}
	return p.askForRunner(now, failed.runner)
}

// askForRunner returns probes of a runner through the next peers, and of the direct way.
func (p *Paths) askForRunner(now time.Time, id structs.RunnerID) []Probe {
	lost := p.runners[id]
	lost.reachedBy, lost.hasMissed = "", false
	probes := p.ask(now, &lost.search, id, lost.zone, "")
	if len(probes) == 0 || lost.direct.number != 0 {
		return probes
	}
	return append(probes, p.probeDirectly(id))
}

func (p *Paths) probeDirectly(id structs.RunnerID) Probe {
	p.directProbes++
	p.lastNumber++
	p.runners[id].direct.number = p.lastNumber
	return Probe{Runner: id, number: p.lastNumber}
}

const (
	// severalLost is the number of runners reached through peers from which the others are doubted as well.
	severalLost = 2
	// doubtsPerStep bounds the runners that are doubted in one step without a failed connect.
	doubtsPerStep = 4
)

// doubtOthers returns probes of runners that were not tried yet, once several others are lost: their first requests would
// find out at their cost.
func (p *Paths) doubtOthers(now time.Time) []Probe {
	lost := 0
	for _, each := range p.runners {
		if each.isThroughPeers {
			lost++
		}
	}
	if lost < severalLost {
		p.checked = nil
		return nil
	}
	if p.checked == nil {
		p.checked = make(map[structs.RunnerID]bool)
	}
	var probes []Probe
	doubts := 0
	for _, zone := range p.listed.Zones() {
		if p.zones[zone] != nil {
			continue
		}
		for _, id := range p.listed.RunnersOf(zone) {
			if doubts == doubtsPerStep {
				return probes
			}
			if p.checked[id] || p.runners[id] != nil {
				continue
			}
			p.checked[id] = true
			doubts++
			probes = append(probes, p.doubt(now, failure{now, id, zone})...)
		}
	}
	return probes
}

// stepRunner returns the probes of a runner that are due. One that has not been used for long is dropped.
func (p *Paths) stepRunner(now time.Time, id structs.RunnerID) []Probe {
	lost := p.runners[id]
	switch {
	case now.Sub(lost.usedAt) >= unusedTime:
		delete(p.runners, id)
		return nil
	case !lost.isThroughPeers:
		if !lost.search.isDue(now) {
			return nil
		}
		return p.askForRunner(now, id)
	case lost.direct.number != 0 || now.Before(lost.direct.at) || p.directProbes >= maxDirectProbes:
		return nil
	}
	return []Probe{p.probeDirectly(id)}
}

// probedRunner records the outcome of a probe of a single runner through a peer.
func (p *Paths) probedRunner(now time.Time, probe Probe, outcome Outcome) []Change {
	lost := p.runners[probe.Runner]
	if lost == nil || lost.search.number != probe.number {
		return nil
	}
	lost.search.pending--
	if outcome != OutcomeReached || lost.isThroughPeers {
		return nil
	}
	lost.reachedBy = probe.Path.Peer
	return p.useReachingPeer(now, probe.Runner)
}

// useReachingPeer has a runner reached through peers that a peer reached and the router missed.
func (p *Paths) useReachingPeer(now time.Time, id structs.RunnerID) []Change {
	lost := p.runners[id]
	if lost.reachedBy == "" || !lost.hasMissed {
		return nil
	}
	lost.isThroughPeers = true
	lost.direct = directWay{at: now.Add(minDirectInterval), interval: minDirectInterval}
	return []Change{{Runner: id, IsThroughPeers: true, Peer: lost.reachedBy, After: now.Sub(lost.since)}}
}

// probedDirectly records the outcome of a direct probe. After the first runner that is back, the others are tried
// without delay.
func (p *Paths) probedDirectly(now time.Time, probe Probe, outcome Outcome) []Change {
	lost := p.runners[probe.Runner]
	if lost == nil || lost.direct.number != probe.number {
		return nil
	}
	way := &lost.direct
	way.number = 0
	if !lost.isThroughPeers {
		if outcome == OutcomeReached {
			delete(p.runners, probe.Runner)
			return nil
		}
		lost.hasMissed = outcome == OutcomeMissed
		return p.useReachingPeer(now, probe.Runner)
	}
	if outcome != OutcomeReached {
		way.confirmed = 0
		way.interval = min(maxDirectInterval, 2*way.interval)
		way.at = now.Add(way.interval)
		return nil
	}
	way.confirmed++
	if way.confirmed < directConfirms {
		way.at = now.Add(confirmInterval)
		return nil
	}
	delete(p.runners, probe.Runner)
	for _, other := range p.runners {
		other.direct.at = now
	}
	return []Change{{Runner: probe.Runner, After: now.Sub(lost.since)}}
}
