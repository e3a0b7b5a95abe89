package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// evictionHorizon is the time within which a row's next use counts as an eviction cost.
const evictionHorizon = 5 * time.Minute

// victim is a replica together with the adapters on it, which are evicted with it.
type victim struct {
	replica *replicaState
	bytes   int64
	cost    float64
}

// victims chooses idle replicas on the option's runner whose eviction makes room for
// the row at the lowest expected cost, in seconds of reloading. It returns nil if
// evicting all candidates would not make enough room.
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

// pickVictims takes candidates in order until enough memory is freed, and then drops
// those that later ones make unnecessary.
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
	excess := -missing
	for _, candidate := range slices.Backward(picked) {
		if candidate.bytes <= excess {
			excess -= candidate.bytes
			continue
		}
		chosen = append(chosen, candidate.replica)
		cost += candidate.cost
	}
	slices.Reverse(chosen)
	return chosen, cost
}

// victim returns the replica with its adapters as a candidate. An adapter whose base
// is evictable too counts only with the base.
func (p *planner) victim(row *rowState, replica *replicaState) (victim, bool) {
	if !p.evictable(row, replica) {
		return victim{}, false
	}
	if replica.Base != "" {
		if base := replica.runner.replicaOf(replica.Base); base != nil && p.evictable(row, base) && replica.Base != row.Base {
			return victim{}, false
		}
	}
	candidate := victim{replica, replica.MemoryBytes, p.evictionCost(replica)}
	for _, adapter := range replica.adapters() {
		if adapter.unloading {
			continue
		}
		candidate.bytes += adapter.MemoryBytes
		candidate.cost += p.evictionCost(adapter)
	}
	return candidate, true
}

func (p *planner) evictable(row *rowState, replica *replicaState) bool {
	victim := replica.row
	if !replica.idle() || victim.demand.Waiting > 0 || victim.usableCount <= victim.minimum {
		return false
	}
	if p.snapshot.Now.Sub(replica.Since) < p.settings.MinResidence {
		return false
	}
	if victim.Priority > row.priority() && p.idleFor(victim) < p.keepAlive(victim) {
		return false
	}
	for _, adapter := range replica.adapters() {
		if !adapter.unloading && !p.evictable(row, adapter) {
			return false
		}
	}
	return true
}

// evictionCost returns the expected time to reload the replica within evictionHorizon,
// in seconds, multiplied by the row's weight. The cost of a base includes the use of
// its adapters.
func (p *planner) evictionCost(replica *replicaState) float64 {
	row := replica.row
	reload := p.readTime(replica.MemoryBytes, structs.TierDisk).Seconds()
	return reload * p.replicaReturnProbability(replica, evictionHorizon) * float64(max(row.Weight, 1))
}

// replicaReturnProbability returns the probability that the row, or an adapter on its
// replica, is used within the horizon.
func (p *planner) replicaReturnProbability(replica *replicaState, horizon time.Duration) float64 {
	unused := 1 - p.rowReturnProbability(replica.row, horizon)
	for _, adapter := range replica.adapters() {
		if !adapter.unloading {
			unused *= 1 - p.rowReturnProbability(adapter.row, horizon)
		}
	}
	return 1 - unused
}

// rowReturnProbability returns the probability that the row is used within the horizon.
// For a row that has been idle longer than the horizon, it scales down the probability
// of a use within the idle time.
func (p *planner) rowReturnProbability(row *rowState, horizon time.Duration) float64 {
	idle := p.idleFor(row)
	ahead := max(idle, horizon)
	probability := p.snapshot.Interarrivals[row.Name].returnProbability(idle, ahead)
	probability *= horizon.Seconds() / ahead.Seconds()
	return max(probability, row.useProbabilityWithin(horizon.Seconds()))
}
