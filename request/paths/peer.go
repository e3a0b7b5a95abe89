package paths

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// activePeers is the number of peers that share the requests, so that a few connections serve many
	// requests.
	activePeers = 2
	// minPeerBackoff is how long a peer that failed is not used. It doubles up to maxPeerBackoff.
	minPeerBackoff = 200 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
	// runnerBackoff is how long a peer is not used for a runner that it did not reach.
	runnerBackoff = time.Second
	// watchTime is how long after its last use the status of a peer is watched.
	watchTime = 5 * time.Second
)

// Peer is a router through which this one may reach runners.
type Peer struct {
	Name    string
	Address string
	Zone    structs.ZoneID
}

// Status is what a peer says of itself.
type Status struct {
	// IsStopping is set while the peer shuts down, IsBusy while it has no room for more connections.
	IsStopping bool
	IsBusy     bool
	// Lost are the zones of which the peer reaches no runner.
	Lost []structs.ZoneID
}

// peer is the state of a peer.
type peer struct {
	Peer
	status  Status
	inUse   int
	usedAt  time.Time
	backoff time.Duration
	// retryAt is when it may be used again after a failure.
	retryAt time.Time
	// proven are the zones of which it has reached a runner since it failed last, and reached these runners.
	proven  map[structs.ZoneID]bool
	reached map[structs.RunnerID]bool
	// missed maps the runners that it did not reach to when it may be used for them again.
	missed map[structs.RunnerID]time.Time
}

// reaches reports whether the peer may reach the runners of a zone.
func (p *peer) reaches(now time.Time, zone structs.ZoneID) bool {
	return !p.status.IsStopping && !now.Before(p.retryAt) && !slices.Contains(p.status.Lost, zone)
}

// mayReach reports whether the peer may reach a runner of the zone.
func (p *peer) mayReach(now time.Time, runner structs.RunnerID, zone structs.ZoneID) bool {
	return p.reaches(now, zone) && !now.Before(p.missed[runner])
}

// failed records that the peer was not reached or accepted nothing.
func (p *peer) failed(now time.Time) {
	p.backoff = min(maxPeerBackoff, max(minPeerBackoff, 2*p.backoff))
	p.retryAt = now.Add(p.backoff)
	clear(p.proven)
	clear(p.reached)
}

// worked records that a runner of the zone was reached through the peer.
func (p *peer) worked(runner structs.RunnerID, zone structs.ZoneID) {
	p.backoff, p.retryAt = 0, time.Time{}
	p.proven[zone], p.reached[runner] = true, true
	delete(p.missed, runner)
}

// missedRunner records that the peer did not reach a runner.
func (p *peer) missedRunner(now time.Time, runner structs.RunnerID) {
	for id, until := range p.missed {
		if !now.Before(until) {
			delete(p.missed, id)
		}
	}
	p.missed[runner] = now.Add(runnerBackoff)
	delete(p.reached, runner)
}

// SetPeers replaces the peers, in the order in which they are preferred. What is known of those that stay is kept.
// An empty list is ignored: a leader that has just begun knows no routers.
func (p *Paths) SetPeers(listed []Peer) {
	if len(listed) == 0 {
		return
	}
	known := p.byAddress
	p.peers, p.byAddress = nil, make(map[string]*peer, len(listed))
	for _, each := range listed {
		next := known[each.Address]
		if next == nil {
			next = &peer{
				missed: make(map[structs.RunnerID]time.Time), proven: make(map[structs.ZoneID]bool), reached: make(map[structs.RunnerID]bool),
			}
		}
		next.Peer = each
		p.peers = append(p.peers, next)
		p.byAddress[each.Address] = next
	}
}

// Peers returns the number of known peers.
func (p *Paths) Peers() int { return len(p.peers) }

// Watched returns the addresses of the peers whose status is to be watched.
func (p *Paths) Watched(now time.Time) []string {
	var watched []string
	for _, each := range p.peers {
		if each.inUse > 0 || !each.usedAt.IsZero() && now.Sub(each.usedAt) < watchTime {
			watched = append(watched, each.Address)
		}
	}
	return watched
}

// ObserveStatus records what a peer says of itself.
func (p *Paths) ObserveStatus(address string, status Status) {
	if known := p.byAddress[address]; known != nil {
		known.status = status
	}
}

// PeerFailed records that a peer was not reached, accepted nothing, or was lost.
func (p *Paths) PeerFailed(now time.Time, address string) {
	if known := p.byAddress[address]; known != nil {
		known.failed(now)
		known.status = Status{}
	}
}

// choosePeer returns the peer through which to reach a runner: of the first activePeers of the best rank, the one with
// the fewest requests. It returns nil if none may reach it.
func (p *Paths) choosePeer(now time.Time, runner structs.RunnerID, zone structs.ZoneID, wish Wish) *peer {
	for rank := range ranks {
		var best *peer
		active := 0
		for _, each := range p.peers {
			isAllowed := each.Address != wish.Avoid && (wish.Zones == nil || wish.Zones[each.Zone])
			if each.rank(runner, zone) != rank || !isAllowed || !each.mayReach(now, runner, zone) {
				continue
			}
			if best == nil || each.inUse < best.inUse {
				best = each
			}
			if active++; active == activePeers {
				break
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// HasPeerFor reports whether any peer may reach a runner.
func (p *Paths) HasPeerFor(now time.Time, runner structs.RunnerID, zone structs.ZoneID) bool {
	return p.choosePeer(now, runner, zone, Wish{}) != nil
}

// ranks is the number of ranks of peers.
const ranks = 4

// rank orders peers by what is known of them: first those that have reached the runner, then its zone, and last those
// without room. A peer may itself reach only some runners of a zone.
func (p *peer) rank(runner structs.RunnerID, zone structs.ZoneID) int {
	switch {
	case p.status.IsBusy:
		return 3
	case p.reached[runner]:
		return 0
	case p.proven[zone]:
		return 1
	}
	return 2
}

// provenPeers returns the number of peers that have reached the zone and may do so now.
func (p *Paths) provenPeers(now time.Time, zone structs.ZoneID) int {
	count := 0
	for _, each := range p.peers {
		if each.proven[zone] && each.reaches(now, zone) {
			count++
		}
	}
	return count
}
