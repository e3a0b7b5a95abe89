package residency

import (
	"math"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// Obstacle is why a model that should be loaded is not.
type Obstacle uint8

// The obstacles, from the one that a load meets first to the last.
const (
	ObstacleNone Obstacle = iota
	// ObstacleBusy: every runner executes an order, keeps room for another model, or has
	// not said yet how many orders it has taken or which copies it has.
	ObstacleBusy
	// ObstacleStore: the weight store takes no further load now.
	ObstacleStore
	// ObstacleRoom: nothing may make way on any runner.
	ObstacleRoom
	// ObstacleCost: the load costs more than it gains.
	ObstacleCost
	// ObstacleLease: a new leader may not send orders yet.
	ObstacleLease
)

// Obstacles lists all but ObstacleNone.
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

// loadPlace is where a model is best loaded.
type loadPlace struct {
	// runner is nil if there is no place; then obstacle says why.
	runner   *runner
	obstacle Obstacle
	// victim is the model to unload first, or "".
	victim string
	cost   float64
}

// loadModel finds the runner on which a load costs least and returns the load, or the
// unload that makes room for it. Nothing is unloaded whose loss costs more than the
// load gains.
func (p *Planner) loadModel(now time.Time, wanted *need) (Order, bool) {
	place := p.findPlace(now, wanted)
	wanted.obstacle = place.obstacle
	if place.runner == nil {
		return Order{}, false
	}
	known, model := place.runner, wanted.row.Model
	fromStore := !known.hasCopy(model)
	if place.victim != "" {
		known.reserved, known.reservedUntil = model, now.Add(reservationTime)
		known.roomBy = now.Add(p.roomTakes(known, place.victim))
		if fromStore {
			known.storeKeptUntil = now.Add(storeKeptTime)
			p.tally.keepPlace(wanted.row)
		}
		return p.send(now, known, Unload, place.victim, ""), true
	}
	known.reserved = ""
	order := p.send(now, known, Load, model, "")
	p.beginLoad(now, known, wanted.row, fromStore)
	if wanted.isAhead {
		p.aheadAt[wanted.row] = now
	}
	return order, true
}

// roomTakes is how long it should take at most until the runner has unloaded the model.
func (p *Planner) roomTakes(known *runner, victim string) time.Duration {
	if p.tally.active[activeKey{known.rowOf(victim), known.status.Heartbeat.Instance}] > 0 {
		return roomDrainedIn
	}
	return roomMadeIn
}

// findPlace finds the runner on which a load of the model costs least.
func (p *Planner) findPlace(now time.Time, wanted *need) loadPlace {
	best := loadPlace{cost: math.Inf(1), obstacle: ObstacleBusy}
	if p.tally.makingRoom[wanted.row] || len(p.tally.available[wanted.row.Service]) == 0 {
		return best
	}
	wanted.spread = nil
	mayUseStore := !wanted.isFromCopy && p.mayUseStore(now, *wanted)
	candidates := p.tally.available[wanted.row.Service]
	if !mayUseStore {
		// Only a copy, or a place at the store that is kept, allows a load.
		best.obstacle = ObstacleStore
		candidates = p.tally.withoutStore(wanted.row)
	}
	model := p.listedModel(wanted.row)
	if model == nil {
		return best
	}
	engine := p.document.Service(wanted.row.Service).Engine
	for _, known := range candidates {
		found := p.placeAt(now, known, engine, model, wanted, mayUseStore)
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

// placeAt weighs a load of the model at a runner that takes orders.
func (p *Planner) placeAt(now time.Time, known *runner, engine *site.Engine, model *site.Model, wanted *need, mayUseStore bool) loadPlace {
	row := wanted.row
	if known.holdings[row.Model] != nil || !known.isIn(wanted.zones) {
		return loadPlace{}
	}
	if known.status.Recalled || known.isResting(now) {
		// Its first heartbeat tells which copies its machine has; and one that takes no requests serves nobody.
		return loadPlace{obstacle: ObstacleBusy}
	}
	isReserved := known.reserved != "" && now.Before(known.reservedUntil)
	if isReserved && known.reserved != row.Model {
		return loadPlace{obstacle: ObstacleBusy}
	}
	if !mayUseStore && !known.hasCopy(row.Model) && !p.isStoreKept(now, known, row.Model) {
		return loadPlace{obstacle: ObstacleStore}
	}
	cost, victim, isPossible := p.costOf(now, known, engine, model, wanted)
	if !isPossible {
		return loadPlace{obstacle: ObstacleRoom}
	}
	cost += p.claimCost(known, model)
	if wanted.isAhead {
		cost += p.onlyCopies(known) * aheadHarm
	}
	if !wanted.isWaitedFor && cost >= wanted.gain {
		return loadPlace{obstacle: ObstacleCost}
	}
	if isReserved {
		cost /= 2
	}
	return loadPlace{runner: known, victim: victim, cost: cost}
}
