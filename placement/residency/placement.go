package residency

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// Obstacle is the reason why a model that should be loaded is not.
type Obstacle uint8

// The obstacles, in the order in which a load meets them.
const (
	ObstacleNone Obstacle = iota
	// ObstacleBusy: every runner executes an order, reserves its memory for another model, is
	// cooling down, or has not reported its number of orders or its copies yet.
	ObstacleBusy
	// ObstacleStore: the weight store has no slot for a further load.
	ObstacleStore
	// ObstacleRoom: no runner can evict enough models.
	ObstacleRoom
	// ObstacleCost: the load costs more than it gains.
	ObstacleCost
	// ObstacleLease: a new leader may not send orders yet.
	ObstacleLease
)

// Obstacles returns all obstacles except ObstacleNone.
func Obstacles() []Obstacle {
	return []Obstacle{ObstacleBusy, ObstacleStore, ObstacleRoom, ObstacleCost, ObstacleLease}
}

// String returns the name used in logs.
func (o Obstacle) String() string {
	names := [...]string{"none", "runners_busy", "store_full", "no_room", "cost", "lease"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// placement is the best runner for the load of a model.
type placement struct {
	// runner is nil if there is none; obstacle is then the reason.
	runner   *runner
	obstacle Obstacle
	// victim is the model to unload first, or "".
	victim string
	cost   float64
}

// loadModel returns the order that loads the model at the runner with the lowest cost, or the
// unload that frees memory for it. A model is only unloaded if that costs less than the load gains.
func (p *Planner) loadModel(now time.Time, wanted *need) (Order, bool) {
	target := p.findPlacement(now, wanted)
	wanted.obstacle = target.obstacle
	if target.runner == nil {
		return Order{}, false
	}
	r, model := target.runner, wanted.row.Model
	fromStore := !r.hasCopy(model)
	if target.victim != "" {
		r.reserved, r.reservedUntil = model, now.Add(reservationTime)
		r.unloadBy = now.Add(p.unloadTimeout(r, target.victim))
		if fromStore {
			r.storeSlotUntil = now.Add(storeSlotTime)
			p.snapshot.reserveSlot(wanted.row)
		}
		return p.send(now, r, Unload, target.victim, ""), true
	}
	r.reserved = ""
	order := p.send(now, r, Load, model, "")
	p.beginLoad(now, r, wanted.row, fromStore)
	if wanted.isPrewarm {
		p.prewarmedAt[wanted.row] = now
	}
	return order, true
}

// unloadTimeout returns the time within which the runner should have unloaded the model.
func (p *Planner) unloadTimeout(r *runner, victim string) time.Duration {
	if p.snapshot.active[activeKey{r.rowOf(victim), r.status.Heartbeat.Instance}] > 0 {
		return drainTimeout
	}
	return idleUnloadTimeout
}

// findPlacement returns the runner at which a load of the model has the lowest cost.
func (p *Planner) findPlacement(now time.Time, wanted *need) placement {
	best := placement{cost: math.Inf(1), obstacle: ObstacleBusy}
	if isAnyIn(p.snapshot.makingRoom[wanted.row], wanted.zones) || len(p.snapshot.available[wanted.row.Service]) == 0 {
		return best
	}
	wanted.spread = nil
	mayUseStore := !wanted.isFromCopy && p.mayUseStore(now, *wanted)
	candidates := p.snapshot.available[wanted.row.Service]
	if !mayUseStore {
		// Only a copy or a reserved slot of the store allows a load.
		best.obstacle = ObstacleStore
		candidates = p.snapshot.withoutStore(wanted.row)
	}
	model := p.listedModel(wanted.row)
	if model == nil {
		return best
	}
	engine := p.document.Service(wanted.row.Service).Engine
	for _, r := range candidates {
		found := p.placementAt(now, r, engine, model, wanted, mayUseStore)
		if found.runner == nil {
			best.obstacle = max(best.obstacle, found.obstacle)
		} else if found.cost < best.cost {
			best = found
		}
	}
	if best.runner != nil {
		best.obstacle = ObstacleNone
	}
	return best
}

// placementAt returns the cost of a load of the model at a runner that takes orders.
func (p *Planner) placementAt(now time.Time, r *runner, engine *site.Engine, model *site.Model, wanted *need, mayUseStore bool) placement {
	row := wanted.row
	if r.holdings[row.Model] != nil || !r.isIn(wanted.zones) {
		return placement{}
	}
	if r.status.Recalled || r.isCoolingDown(now) {
		// The copies of a recalled runner are unknown until its first heartbeat, and a runner that
		// is cooling down takes no requests.
		return placement{obstacle: ObstacleBusy}
	}
	isReserved := r.reserved != "" && now.Before(r.reservedUntil)
	if isReserved && r.reserved != row.Model {
		return placement{obstacle: ObstacleBusy}
	}
	if !mayUseStore && !r.hasCopy(row.Model) && !p.hasStoreSlot(now, r, row.Model) {
		return placement{obstacle: ObstacleStore}
	}
	p.spreadOf(wanted)
	wanted = wanted.at(r, model)
	cost, victim, isPossible := p.costOf(now, r, engine, model, wanted)
	if !isPossible {
		return placement{obstacle: ObstacleRoom}
	}
	cost += p.blockedCopyCost(r, model)
	if wanted.isPrewarm {
		cost += p.soleCopies(r) * soleCopyCost
	}
	if !wanted.isWaitedFor && cost >= wanted.gain {
		return placement{obstacle: ObstacleCost}
	}
	if isReserved {
		cost /= 2
	}
	return placement{runner: r, victim: victim, cost: cost}
}
