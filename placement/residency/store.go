package residency

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/placement/weightstore"
)

// storeSlotTime is how long a slot of the weight store is reserved while a model is unloaded,
// several times the duration for an unused model.
const storeSlotTime = 2 * time.Second

const (
	// reservedShare is the share of the slots reserved for needs with urgentGain, which would
	// otherwise wait for seconds until the load of a cold model ends.
	reservedShare = 0.2
	// urgentGain is the gain, in late requests within the horizon, from which a need is urgent. It
	// separates models with far too few replicas from cold ones with a few waiting requests.
	urgentGain = 25
)

// runnersPerLoad is the number of runners for each initial load from a weight store with unknown
// throughput. If the store is slower, only a twentieth of the runners is blocked.
const runnersPerLoad = 20

const (
	// defaultFirstLoads is the number of initial loads at a small site, and minFirstLoads that for
	// long loads within the request timeout: a single one would not show whether the store can
	// serve two.
	minFirstLoads     = 2
	defaultFirstLoads = 4
)

// firstLoads returns the initial limit of concurrent loads from a store with unknown throughput.
// Even if the store serves one load at a time, the last load ends within the longest request
// timeout.
func (p *Planner) firstLoads(service string, runners int) int {
	engine := p.document.Service(service).Engine
	var longest, timeout time.Duration
	for i := range engine.Models {
		longest = max(longest, engine.Models[i].LoadTime)
	}
	for i := range p.document.Document.Routes {
		route := &p.document.Document.Routes[i]
		if slices.ContainsFunc(route.Split, func(share site.Share) bool { return share.Service == service }) {
			timeout = max(timeout, route.Timeout)
		}
	}
	first := max(defaultFirstLoads, runners/runnersPerLoad)
	if longest > 0 && timeout > 0 {
		first = min(first, max(minFirstLoads, int(timeout/longest)))
	}
	if longest > timeout && timeout > 0 {
		// No request waits until a load ends. Sequential loads end sooner on average.
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
	limiter := p.stores[service]
	if limiter == nil {
		limiter = weightstore.New(p.options.StoreWindow, allowed)
		if recalled, isRecalled := p.recalledStores[service]; isRecalled {
			limiter.RestoreLearned(recalled.at, recalled.limit, recalled.isCrowded)
		}
		p.stores[service] = limiter
	}
	limiter.SetRate(allowed)
	return limiter
}

// followStores updates the limiters with the loads in progress. A runner that executes an order of a
// previous leader may be loading a model and counts as well.
func (p *Planner) followStores(now time.Time) {
	inProgress := make(map[string][]weightstore.Load)
	for _, r := range p.sortedActive() {
		engine := p.engineOf(r)
		if engine == nil {
			continue
		}
		service, instance := r.status.Heartbeat.Service, r.status.Heartbeat.Instance
		if r.isBusy {
			inProgress[service] = append(inProgress[service], weightstore.Load{Key: weightstore.Key{Instance: instance}})
		}
		for name, held := range r.holdings {
			model := engine.ModelByName(name)
			if model == nil || !held.fromStore || held.phase != phaseLoading && held.phase != phaseUncertain {
				continue
			}
			load := weightstore.Load{Key: weightstore.Key{Instance: instance, Model: name}, Nominal: model.LoadTime}
			inProgress[service] = append(inProgress[service], load)
		}
	}
	for i := range p.document.Document.Services {
		service := p.document.Document.Services[i].Name
		if store := p.store(service); store != nil {
			store.SetInitialLimit(p.firstLoads(service, p.index.services[service]))
			store.Update(now, inProgress[service], p.isLoaded)
		}
	}
	for service := range p.stores {
		if p.store(service) == nil {
			delete(p.stores, service)
		}
	}
}

// sortedActive returns the runners at which orders are or may be in progress, by instance.
func (p *Planner) sortedActive() []*runner {
	return slices.SortedFunc(maps.Keys(p.active), byInstance)
}

// isLoaded reports whether a load has ended with the model ready.
func (p *Planner) isLoaded(key weightstore.Key) bool {
	r := p.runners[key.Instance]
	if r == nil || r.holdings[key.Model] == nil {
		return false
	}
	return r.holdings[key.Model].phase == phaseReady
}

// mayUseStore reports whether the model may be loaded from the weight store now. It returns false
// while a load from a copy would end sooner, even though the runner with the copy executes another
// order or all of its models are in use. As another model may get that runner, the total wait is
// bounded by the expected time of the load from the store.
func (p *Planner) mayUseStore(now time.Time, wanted need) bool {
	store := p.store(wanted.row.Service)
	if store == nil {
		return false
	}
	reserved := p.snapshot.reservedSlots[wanted.row.Service] + p.slotsForUnreachable(wanted, store.Limit())
	if !hasFreeSlot(now, store, wanted, reserved) {
		return false
	}
	model := p.document.Service(wanted.row.Service).Engine.ModelByName(wanted.row.Model)
	if model == nil {
		return false
	}
	left := store.Expected(model.LoadTime) - p.awaitedFor(now, wanted.row)
	for _, r := range p.snapshot.copies[wanted.row] {
		if r.isIn(wanted.zones) && p.loadsWithin(now, r, model, wanted, left) {
			p.noteAwaited(now, wanted.row)
			return false
		}
	}
	return true
}

// hasFreeSlot reports whether the store has a slot for the need besides the loads in progress and the
// reserved slots. Some slots are reserved for urgent needs, which may also exceed the learned
// limit.
func hasFreeSlot(now time.Time, store *weightstore.Limiter, wanted need, reserved int) bool {
	if wanted.gain >= urgentGain {
		return store.MayBeginUrgent(now, reserved)
	}
	return store.MayBegin(now, reserved+int(reservedShare*float64(store.Limit())))
}

// awaitedFor returns how long a copy of the model has been awaited in place of a load from the
// weight store.
func (p *Planner) awaitedFor(now time.Time, row Row) time.Duration {
	if since, isAwaited := p.awaitedCopies[row]; isAwaited {
		return now.Sub(since)
	}
	return 0
}

// noteAwaited records that a copy of the model is awaited.
func (p *Planner) noteAwaited(now time.Time, row Row) {
	if _, isAwaited := p.awaitedCopies[row]; !isAwaited {
		p.awaitedCopies[row] = now
	}
}

// forgetAwaited deletes the awaited copies of models that need no further replica.
func (p *Planner) forgetAwaited(wanted map[Row]bool) {
	for row := range p.awaitedCopies {
		if !wanted[row] {
			delete(p.awaitedCopies, row)
		}
	}
}

// loadsWithin reports whether a runner with a copy of the model, which can't begin now, is expected
// to have loaded it within the given time.
func (p *Planner) loadsWithin(now time.Time, r *runner, model *site.Model, wanted need, within time.Duration) bool {
	if r.isOccupied() || r.sent {
		return p.occupiedFor(now, r)+loadTime(r, model) < within
	}
	return wanted.isWaitedFor && !wanted.isUnreachable && !r.isGone && useTime+loadTime(r, model) < within
}

// occupiedFor returns the expected remaining time of the runner's current order.
func (p *Planner) occupiedFor(now time.Time, r *runner) time.Duration {
	engine := p.engineOf(r)
	var longest time.Duration
	for name, held := range r.holdings {
		model := engine.ModelByName(name)
		if model != nil && (held.phase == phaseLoading || held.phase == phaseUncertain) {
			longest = max(longest, p.remaining(now, r, name, held))
		}
	}
	return longest
}

// remaining returns the expected remaining time of a load.
func (p *Planner) remaining(now time.Time, r *runner, name string, held *holding) time.Duration {
	engine := p.engineOf(r)
	if engine == nil {
		// The service is missing from a newer document.
		return 0
	}
	model := engine.ModelByName(name)
	if model == nil {
		return 0
	}
	if held.fromStore {
		store := p.store(r.status.Heartbeat.Service)
		return store.Remaining(now, weightstore.Key{Instance: r.status.Heartbeat.Instance, Model: name})
	}
	return max(0, loadTime(r, model)-now.Sub(held.since))
}

// hasStoreSlot reports whether a slot of the weight store is reserved for the model at the runner.
func (p *Planner) hasStoreSlot(now time.Time, r *runner, model string) bool {
	return r.reserved == model && now.Before(r.storeSlotUntil)
}

// beginLoad records the start of a load that was just ordered.
func (p *Planner) beginLoad(now time.Time, r *runner, row Row, fromStore bool) {
	model := p.engineOf(r).ModelByName(row.Model)
	held := r.holdings[row.Model]
	if !fromStore {
		held.expected = loadTime(r, model)
		return
	}
	store := p.store(row.Service)
	held.fromStore, held.expected = true, store.Expected(model.LoadTime)
	r.storeSlotUntil = time.Time{}
	key := weightstore.Key{Instance: r.status.Heartbeat.Instance, Model: row.Model}
	store.Begin(now, weightstore.Load{Key: key, Nominal: model.LoadTime})
}

// TakeEndedLoads returns the loads that have ended since the last call.
func (p *Planner) TakeEndedLoads() []EndedLoad {
	var ended []EndedLoad
	for _, r := range p.sorted() {
		ended = append(ended, r.ended...)
		r.ended = nil
	}
	return ended
}

// recalledStore is the state of a weight store as learned by a previous leader.
type recalledStore struct {
	at        time.Time
	limit     int
	isCrowded bool
}

// RecallStore restores the state of a service's weight store as learned by the previous leader.
func (p *Planner) RecallStore(now time.Time, service string, limit int, isCrowded bool) {
	p.recalledStores[service] = recalledStore{now, limit, isCrowded}
}

// StoreState is the state of a service's weight store.
type StoreState struct {
	Service string
	// InProgress is the number of loads in progress, and Limit the number of concurrent loads that the
	// store is assumed to serve at full speed.
	InProgress int
	Limit      int
	// Learned is the limit as learned from loads, 0 if it is unknown, and IsCrowded is set if loads
	// were found to be slow.
	Learned   int
	IsCrowded bool
}

// Stores returns the states of the weight stores by service.
func (p *Planner) Stores() []StoreState {
	var states []StoreState
	for service, store := range p.stores {
		learned, isCrowded := store.Learned()
		states = append(states, StoreState{service, store.InProgress(), store.Limit(), learned, isCrowded})
	}
	slices.SortFunc(states, func(a, b StoreState) int { return strings.Compare(a.Service, b.Service) })
	return states
}
