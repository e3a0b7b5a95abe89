package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/placement/weightstore"
)

// storeKeptTime is how long a place at the weight store is kept while the model that
// must make way is unloaded: several times what an unload of an unused model takes.
const storeKeptTime = 2 * time.Second

const (
	// reservedShare is the part of the loads at once that is kept for models with an
	// urgentGain: one of them would have to wait for the seconds that a load of a cold model
	// takes otherwise.
	reservedShare = 0.2
	// urgentGain is from how many late requests of the horizon a load is urgent. On the large
	// deployments, a cold model that somebody waits for counts for 3 to 17, a model with far
	// too few replicas for 70 to 450.
	urgentGain = 25
)

// runnersPerLoad is for how many runners one load from an unknown weight store is tried at
// once: should it bear fewer, a twentieth of the runners is held up for longer, no more.
const runnersPerLoad = 20

const (
	// usualFirstLoads are tried at once on a small site, and leastFirstLoads where loads take long
	// but callers wait for them: one alone would tell nothing of a second.
	leastFirstLoads = 2
	usualFirstLoads = 4
)

// firstLoads is how many loads at once to try of a store of which nothing is known. Should it
// serve one at a time, the last of them is there when the most patient callers still wait: where
// loads take long, loads tried too many hold up their runners for minutes.
func (p *Planner) firstLoads(service string, runners int) int {
	engine := p.document.Service(service).Engine
	var longest, patience time.Duration
	for i := range engine.Models {
		longest = max(longest, engine.Models[i].LoadTime)
	}
	for i := range p.document.Document.Routes {
		route := &p.document.Document.Routes[i]
		if slices.ContainsFunc(route.Split, func(share site.Share) bool { return share.Service == service }) {
			patience = max(patience, route.Timeout)
		}
	}
	first := max(usualFirstLoads, runners/runnersPerLoad)
	if longest > 0 && patience > 0 {
		first = min(first, max(leastFirstLoads, int(patience/longest)))
	}
	if longest > patience && patience > 0 {
		// Nobody waits for the end of a load: one after the other ends sooner on average.
		first = 1
	}
	return first
}

// store returns the limiter of a service's weight store; nil for a service without one.
func (p *Planner) store(service string) *weightstore.Limiter {
	listed := p.document.Service(service)
	if listed == nil || listed.Engine == nil {
		return nil
	}
	allowed := listed.Engine.LoadsPerSecond * p.options.StoreWindow.Seconds() * p.options.StoreShare
	known := p.stores[service]
	if known == nil {
		known = weightstore.New(p.options.StoreWindow, allowed)
		if recalled, isRecalled := p.recalledStores[service]; isRecalled {
			known.Recall(recalled.at, recalled.limit, recalled.isCrowded)
		}
		p.stores[service] = known
	}
	known.SetRate(allowed)
	return known
}

// followStores tells the limiters which loads are under way. Runners that execute an
// order of a former leader may be loading something, which counts as well.
func (p *Planner) followStores(now time.Time) {
	underWay := make(map[string][]weightstore.Load)
	runners := make(map[string]int)
	for _, known := range p.tally.sorted {
		engine := p.engineOf(known)
		if engine == nil {
			continue
		}
		runners[known.status.Heartbeat.Service]++
		service, instance := known.status.Heartbeat.Service, known.status.Heartbeat.Instance
		if known.isBusy {
			underWay[service] = append(underWay[service], weightstore.Load{Key: weightstore.Key{Instance: instance}})
		}
		for name, held := range known.holdings {
			model := engine.ModelByName(name)
			if model == nil || !held.fromStore || held.phase != phaseLoading && held.phase != phaseUncertain {
				continue
			}
			load := weightstore.Load{Key: weightstore.Key{Instance: instance, Model: name}, Nominal: model.LoadTime}
			underWay[service] = append(underWay[service], load)
		}
	}
	for i := range p.document.Document.Services {
		service := p.document.Document.Services[i].Name
		if store := p.store(service); store != nil {
			store.Expect(p.firstLoads(service, runners[service]))
			store.Update(now, underWay[service], p.isLoaded)
		}
	}
	for service := range p.stores {
		if p.store(service) == nil {
			delete(p.stores, service)
		}
	}
}

// isLoaded reports whether a load has ended with the model ready.
func (p *Planner) isLoaded(key weightstore.Key) bool {
	known := p.runners[key.Instance]
	if known == nil || known.holdings[key.Model] == nil {
		return false
	}
	return known.holdings[key.Model].phase == phaseReady
}

// mayUseStore reports whether the model may be loaded from the weight store now. A copy
// at a runner that only finishes another order first, or uses all of its places for the
// moment, is waited for if that is quicker. Neither is certain: another model may get the
// runner, so that the wait in all is bounded by what the load from the store would take.
func (p *Planner) mayUseStore(now time.Time, wanted need) bool {
	store := p.store(wanted.row.Service)
	if store == nil {
		return false
	}
	kept := p.tally.kept[wanted.row.Service] + p.keptForUnreachable(wanted, store.Limit())
	if !hasPlace(now, store, wanted, kept) {
		return false
	}
	model := p.document.Service(wanted.row.Service).Engine.ModelByName(wanted.row.Model)
	if model == nil {
		return false
	}
	left := store.Expected(model.LoadTime) - p.awaitedFor(now, wanted.row)
	for _, known := range p.tally.copies[wanted.row] {
		if p.isSoonThere(now, known, model, wanted, left) {
			p.noteAwaited(now, wanted.row)
			return false
		}
	}
	return true
}

// hasPlace reports whether the store has a place for the need beside those under way and as
// many as are kept. Some places are kept from needs that are not urgent, and urgent ones may
// exceed the learned limit.
func hasPlace(now time.Time, store *weightstore.Limiter, wanted need, kept int) bool {
	if wanted.gain >= urgentGain {
		return store.MayBeginUrgent(now, kept)
	}
	return store.MayBegin(now, kept+int(reservedShare*float64(store.Limit())))
}

// awaitedFor is how long a copy of the model has been waited for in place of a load from
// the weight store.
func (p *Planner) awaitedFor(now time.Time, row Row) time.Duration {
	if since, isAwaited := p.awaitedCopies[row]; isAwaited {
		return now.Sub(since)
	}
	return 0
}

// noteAwaited notes that a copy of the model is waited for from now on, or still.
func (p *Planner) noteAwaited(now time.Time, row Row) {
	if _, isAwaited := p.awaitedCopies[row]; !isAwaited {
		p.awaitedCopies[row] = now
	}
}

// forgetAwaited forgets since when copies of models have been waited for that need no
// further replica.
func (p *Planner) forgetAwaited(wanted map[Row]bool) {
	for row := range p.awaitedCopies {
		if !wanted[row] {
			delete(p.awaitedCopies, row)
		}
	}
}

// isSoonThere reports whether a runner with a copy of the model should have loaded it within
// a time, though it cannot begin to now.
func (p *Planner) isSoonThere(now time.Time, known *runner, model *site.Model, wanted need, within time.Duration) bool {
	if known.isOccupied() || known.sent {
		return p.occupiedFor(now, known)+loadTime(known, model) < within
	}
	return wanted.isWaitedFor && !wanted.isUnreachable && !known.isGone && roomTime+loadTime(known, model) < within
}

// occupiedFor is how long a runner is still expected to execute its order.
func (p *Planner) occupiedFor(now time.Time, known *runner) time.Duration {
	engine := p.engineOf(known)
	var longest time.Duration
	for name, held := range known.holdings {
		model := engine.ModelByName(name)
		if model != nil && (held.phase == phaseLoading || held.phase == phaseUncertain) {
			longest = max(longest, p.remaining(now, known, name, held))
		}
	}
	return longest
}

// remaining is how long a load is still expected to take.
func (p *Planner) remaining(now time.Time, known *runner, name string, held *holding) time.Duration {
	engine := p.engineOf(known)
	if engine == nil {
		// A newer document has taken the service away.
		return 0
	}
	model := engine.ModelByName(name)
	if model == nil {
		return 0
	}
	if held.fromStore {
		store := p.store(known.status.Heartbeat.Service)
		return store.Remaining(now, weightstore.Key{Instance: known.status.Heartbeat.Instance, Model: name})
	}
	return max(0, loadTime(known, model)-now.Sub(held.since))
}

// isStoreKept reports whether a place at the weight store is kept for the model at the
// runner.
func (p *Planner) isStoreKept(now time.Time, known *runner, model string) bool {
	return known.reserved == model && now.Before(known.storeKeptUntil)
}

// beginLoad notes that a load that was just ordered begins.
func (p *Planner) beginLoad(now time.Time, known *runner, row Row, fromStore bool) {
	model := p.engineOf(known).ModelByName(row.Model)
	held := known.holdings[row.Model]
	if !fromStore {
		held.expected = loadTime(known, model)
		return
	}
	store := p.store(row.Service)
	held.fromStore, held.expected = true, store.Expected(model.LoadTime)
	known.storeKeptUntil = time.Time{}
	key := weightstore.Key{Instance: known.status.Heartbeat.Instance, Model: row.Model}
	store.Begin(now, weightstore.Load{Key: key, Nominal: model.LoadTime})
}

// TakeEndedLoads lists the loads that have ended since the last call.
func (p *Planner) TakeEndedLoads() []EndedLoad {
	var ended []EndedLoad
	for _, known := range p.sorted() {
		ended = append(ended, known.ended...)
		known.ended = nil
	}
	return ended
}

// recalledStore is what a leader before had learned of a weight store.
type recalledStore struct {
	at        time.Time
	limit     int
	isCrowded bool
}

// RecallStore takes what the leader before had learned of a service's weight store.
func (p *Planner) RecallStore(now time.Time, service string, limit int, isCrowded bool) {
	p.recalledStores[service] = recalledStore{now, limit, isCrowded}
}

// StoreState is how a service's weight store is used.
type StoreState struct {
	Service string
	// UnderWay counts the loads under way, and Limit how many at once the store is believed
	// to serve at full speed.
	UnderWay int
	Limit    int
	// Learned is the limit as far as loads have shown it, 0 if they have not yet, and
	// IsCrowded is set if loads were found to be slow.
	Learned   int
	IsCrowded bool
}

// Stores lists the states of the weight stores by service.
func (p *Planner) Stores() []StoreState {
	var states []StoreState
	for service, store := range p.stores {
		learned, isCrowded := store.Learned()
		states = append(states, StoreState{service, store.UnderWay(), store.Limit(), learned, isCrowded})
	}
	slices.SortFunc(states, func(a, b StoreState) int { return strings.Compare(a.Service, b.Service) })
	return states
}
