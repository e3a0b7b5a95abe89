package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// evictionHorizon is the time within which the return of a row counts.
const evictionHorizon = 5 * time.Minute

// victim is a replica with the adapters on it, which go together.
type victim struct {
	replica *replicaState
	bytes   int64
	cost    float64
}

// victims chooses idle replicas on the option's runner that make room for the
// row at the least expected cost, in seconds of reloading. It returns nil when
// there are not enough.
func (p *planner) victims(row *rowState, option *placement) ([]*replicaState, float64) {
	missing := option.need - option.runner.future
	var candidates []victim
	var total int64
	for _, replica := range option.runner.replicas {
		if replica.Row == row.Base && row.NeedsBase() {
			continue
		}
		if candidate, ok := p.victim(row, replica); ok {
			candidates = append(candidates, candidate)
			total += candidate.bytes
		}
	}
	if total < missing {
		return nil, 0
	}
	slices.SortStableFunc(candidates, func(a, b victim) int {
		return cmp.Compare(a.cost*float64(b.bytes), b.cost*float64(a.bytes))
	})
	return pickVictims(candidates, missing)
}

// pickVictims takes candidates in order until enough is freed, and spares those that
// are not needed beside the later ones.
func pickVictims(candidates []victim, missing int64) ([]*replicaState, float64) {
	var picked []victim
	for _, candidate := range candidates {
		if missing <= 0 {
			break
		}
		picked = append(picked, candidate)
		missing -= candidate.bytes
	}
	var chosen []*replicaState
	cost := 0.0
	spare := -missing
	for _, candidate := range slices.Backward(picked) {
		if candidate.bytes <= spare {
			spare -= candidate.bytes
			continue
		}
		chosen = append(chosen, candidate.replica)
		cost += candidate.cost
	}
	slices.Reverse(chosen)
	return chosen, cost
}

// victim returns the replica with its adapters as a candidate. An adapter whose
// base may go as well is only counted with the base.
func (p *planner) victim(row *rowState, replica *replicaState) (victim, bool) {
	if !p.evictable(row, replica) {
		return victim{}, false
	}
	if replica.Base != "" {
		if base := replica.runner.find(replica.Base); base != nil && p.evictable(row, base) && replica.Base != row.Base {
			return victim{}, false
		}
	}
	candidate := victim{replica, replica.MemoryBytes, p.evictionCost(replica)}
	for _, adapter := range replica.adapters() {
		if adapter.going {
			continue
		}
		candidate.bytes += adapter.MemoryBytes
		candidate.cost += p.evictionCost(adapter)
	}
	return candidate, true
}

func (p *planner) evictable(row *rowState, replica *replicaState) bool {
	victim := replica.row
	if !replica.idle() || victim.demand.Waiting > 0 || victim.usable <= victim.minimum {
		return false
	}
	if p.snapshot.Now.Sub(replica.Since) < p.settings.MinimumResidence {
		return false
	}
	if victim.Priority > row.priority() && p.idleFor(victim) < p.keepAlive(victim) {
		return false
	}
	for _, adapter := range replica.adapters() {
		if !adapter.going && !p.evictable(row, adapter) {
			return false
		}
	}
	return true
}

// evictionCost is the expected time of reloading within evictionHorizon, weighed
// by the row's weight. A base is missed by its adapters as well.
func (p *planner) evictionCost(replica *replicaState) float64 {
	row := replica.row
	reload := p.readTime(replica.MemoryBytes, structs.TierDisk).Seconds()
	return reload * p.returnWithin(replica, evictionHorizon) * float64(max(row.Weight, 1))
}

// returnWithin is the probability that the row, or an adapter on its replica, is
// used within the horizon.
func (p *planner) returnWithin(replica *replicaState, horizon time.Duration) float64 {
	unused := 1 - p.rowReturns(replica.row, horizon)
	for _, adapter := range replica.adapters() {
		if !adapter.going {
			unused *= 1 - p.rowReturns(adapter.row, horizon)
		}
	}
	return 1 - unused
}

// rowReturns is the probability that the row is used within the horizon. The
// longer it has been idle, the further ahead its return is looked for, and the
// less that is for the horizon.
func (p *planner) rowReturns(row *rowState, horizon time.Duration) float64 {
	idle := p.idleFor(row)
	ahead := max(idle, horizon)
	probability := p.snapshot.Interarrivals[row.Name].returnProbability(idle, ahead)
	probability *= horizon.Seconds() / ahead.Seconds()
	return max(probability, row.expectedWithin(horizon.Seconds()))
}
