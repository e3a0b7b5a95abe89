package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/site"
)

const (
	// maxIncoming is how many adapters may be on their way to a runner at once.
	maxIncoming = 4
	// reservationTime is how long room is kept for a model while others make way.
	reservationTime = 10 * time.Second
	// loadTimeout is after how long a load that does not end is looked into.
	loadTimeout = 20 * time.Second
	// keptAdapters is for how many adapters every runner keeps room.
	keptAdapters = 8
)

// need is a model that should get one more replica, or a row that waits.
type need struct {
	row Row
	// gain is how many requests of the horizon the order would save from being late.
	gain float64
	// isWaitedFor is set if requests wait that nobody can serve.
	isWaitedFor bool
	priority    int
}

// Plan returns the orders to send now, at most one for each runner. Each must be
// followed by Answered.
func (p *Planner) Plan(now time.Time) []Order {
	p.advance(now)
	if p.document == nil || now.Before(p.ordersFrom) {
		return nil
	}
	p.repair(now)
	p.anticipate()
	var orders []Order
	for _, wanted := range p.waits(now) {
		if order, found := p.serveAdapter(now, wanted.row); found {
			orders = append(orders, order)
		}
	}
	for _, wanted := range p.needs(now) {
		if order, found := p.loadModel(now, wanted); found {
			orders = append(orders, order)
		}
	}
	return orders
}

// needs lists the models that should be loaded, the one with the largest gain first.
func (p *Planner) needs(now time.Time) []need {
	found := make(map[Row]*need)
	for _, wanted := range p.waits(now) {
		row := Row{Service: wanted.row.Service, Model: wanted.row.Model}
		if len(p.holders(row.Service, row.Model)) > 0 || p.isComing(row) {
			continue
		}
		if found[row] == nil {
			found[row] = &need{row: row, isWaitedFor: true, priority: wanted.priority}
		}
		found[row].priority = min(found[row].priority, wanted.priority)
		found[row].gain += float64(wanted.count) * (1 + wanted.oldest.Seconds()/agingTime.Seconds())
	}
	for row := range p.demands {
		p.addCrowded(now, found, Row{Service: row.Service, Model: row.Model})
	}
	for service, next := range p.successors {
		p.addCrowded(now, found, Row{Service: service, Model: next.model})
	}
	var listed []need
	for _, each := range found {
		if each.isWaitedFor {
			each.gain += p.modelDemand(each.row.Service, each.row.Model).rate * p.options.Horizon.Seconds()
			each.gain *= urgency(each.priority)
		}
		listed = append(listed, *each)
	}
	slices.SortFunc(listed, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.priority, b.priority), strings.Compare(a.row.Model, b.row.Model))
	})
	return listed
}

// agingTime is the waiting that doubles the weight of a request, so that nobody waits
// for ever behind those who are many.
const agingTime = 3 * time.Second

// urgency weighs requests that wait by the priority of their route; 0 is the most
// urgent.
func urgency(priority int) float64 {
	const step = 0.7
	return 2 * math.Pow(step, float64(min(max(0, priority), 9)))
}

// addCrowded adds the model to the needs if it should have one more replica.
func (p *Planner) addCrowded(now time.Time, found map[Row]*need, row Row) {
	if found[row] != nil {
		return
	}
	if gain := p.crowding(now, row); gain > 0 {
		found[row] = &need{row: row, gain: gain}
	}
}

const (
	// slowCapacity is what a slow runner's replica counts for.
	slowCapacity = 0.5
	// spareRate is the demand in requests a second from which a model should have a
	// second replica, and spareGain the part of the requests that one is worth.
	spareRate = 1
	spareGain = 0.1
)

// crowding is how many requests of the horizon are more than the replicas of a model,
// those on their way included, should get. A model in demand that has a single one
// would be lost with its runner, which counts a little.
func (p *Planner) crowding(now time.Time, row Row) float64 {
	replicas := p.coming(row)
	capacity := float64(replicas)
	for _, known := range p.holders(row.Service, row.Model) {
		replicas++
		if p.IsSlow(now, known.status.Heartbeat.Instance) {
			capacity += slowCapacity
		} else {
			capacity++
		}
	}
	rate := p.modelDemand(row.Service, row.Model).rate
	if replicas == 0 {
		if p.successors[row.Service].model != row.Model {
			return 0
		}
		return rate * spareGain * p.options.Horizon.Seconds()
	}
	gain := max(0, rate-capacity*p.options.ReplicaRate)
	if replicas == 1 && rate > spareRate {
		gain = max(gain, rate*spareGain)
	}
	return gain * p.options.Horizon.Seconds()
}

// repair asks again about loads and unloads that do not end.
func (p *Planner) repair(now time.Time) {
	for _, known := range p.runners {
		for _, held := range known.holdings {
			isMoving := held.phase == phaseLoading || held.phase == phaseUnloading
			if isMoving && now.Sub(held.since) > loadTimeout && now.Sub(known.askedAt) > loadTimeout {
				known.isTakenKnown = false
			}
		}
	}
}

// serveAdapter finds the order that loads a waited-for adapter where its model is.
func (p *Planner) serveAdapter(now time.Time, row Row) (Order, bool) {
	if row.Adapter == "" {
		return Order{}, false
	}
	holders := p.holders(row.Service, row.Model)
	for _, known := range holders {
		if known.holdings[row.Model].adapters[row.Adapter] != nil {
			return Order{}, false
		}
	}
	return p.loadAdapter(now, row, holders)
}

// holders lists the runners on which requests may use the model.
func (p *Planner) holders(service, model string) []*runner {
	var holders []*runner
	for _, known := range p.sorted() {
		if known.status.Heartbeat.Service == service && !known.status.Leaving && known.ready(model) != nil {
			holders = append(holders, known)
		}
	}
	return holders
}

// isComing reports whether a runner already loads the model.
func (p *Planner) isComing(row Row) bool { return p.coming(row) > 0 }

// coming counts the runners that load the model.
func (p *Planner) coming(row Row) int {
	count := 0
	for _, known := range p.runners {
		if known.status.Heartbeat.Service != row.Service || known.status.Leaving {
			continue
		}
		if held := known.holdings[row.Model]; held != nil && (held.phase == phaseLoading || held.phase == phaseUncertain) {
			count++
		}
	}
	return count
}

// mayOrder reports whether the runner can be given an order about a model.
func (p *Planner) mayOrder(known *runner) bool {
	return !known.status.Leaving && !known.isGone && known.isTakenKnown && !known.sent && !known.isOccupied()
}

// loadModel finds the runner on which a load costs least and returns the load, or the
// unload that makes room for it. Nothing is unloaded whose loss costs more than the
// load gains.
func (p *Planner) loadModel(now time.Time, wanted need) (Order, bool) {
	row := wanted.row
	var best *runner
	var bestVictim string
	lowest := math.Inf(1)
	for _, known := range p.sorted() {
		engine := p.engineOf(known)
		if engine == nil || known.status.Heartbeat.Service != row.Service || !p.mayOrder(known) {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model == nil || known.holdings[row.Model] != nil {
			continue
		}
		if known.reserved != "" && known.reserved != row.Model && now.Before(known.reservedUntil) {
			continue
		}
		cost, victim, isPossible := p.costOf(now, known, engine, model, wanted.gain)
		if known.reserved == row.Model && now.Before(known.reservedUntil) {
			cost /= 2
		}
		if isPossible && cost < lowest {
			best, bestVictim, lowest = known, victim, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	if bestVictim != "" {
		best.reserved, best.reservedUntil = row.Model, now.Add(reservationTime)
		return p.send(now, best, Unload, bestVictim, ""), true
	}
	if !p.takeLoad(now, best, row) {
		return Order{}, false
	}
	best.reserved = ""
	return p.send(now, best, Load, row.Model, ""), true
}

// loadWeight is how many lost requests a second of loading counts for: enough to
// prefer a copy that is near, and never more than a loss.
const loadWeight = 0.02

// costOf weighs a load of the model on the runner: the requests that will be late
// because of what must make way, and the time of the load. victim is the first model
// to unload, or "". It is not possible if more is lost than gained.
func (p *Planner) costOf(now time.Time, known *runner, engine *site.Engine, model *site.Model, gain float64) (cost float64, victim string, isPossible bool) {
	cost = loadTime(known, model).Seconds() * loadWeight
	if p.IsSlow(now, known.status.Heartbeat.Instance) {
		rate := p.modelDemand(known.status.Heartbeat.Service, model.Name).rate
		cost += slowHarm * min(rate, p.options.ReplicaRate) * p.options.Horizon.Seconds()
	}
	free := engine.WeightsMB - known.usedMB(engine) - float64(min(keptAdapters, engine.MaxAdapters))*model.AdapterMB
	if free >= model.SizeMB {
		return cost, "", true
	}
	type candidate struct {
		name   string
		sizeMB float64
		value  float64
	}
	var candidates []candidate
	for name, held := range known.holdings {
		listed := engine.ModelByName(name)
		if listed == nil {
			candidates = append(candidates, candidate{name, engine.WeightsMB, 0})
			continue
		}
		if held.phase != phaseReady || !p.isIdle(now, known, name, held) {
			continue
		}
		candidates = append(candidates, candidate{name, listed.SizeMB, p.value(known, listed)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	for _, leaving := range candidates {
		if victim == "" {
			victim = leaving.name
		}
		if leaving.value > gain {
			break
		}
		cost += leaving.value + evictionCost
		free += leaving.sizeMB
		if free >= model.SizeMB {
			return cost, victim, true
		}
	}
	return 0, "", false
}

// isIdle reports whether no request uses the model at the runner, nor waits for it.
func (p *Planner) isIdle(now time.Time, known *runner, name string, held *holding) bool {
	if now.Sub(held.usedAt) < p.options.IdleTime {
		return false
	}
	for row, demand := range p.demands {
		if row.Model != name || row.Service != known.status.Heartbeat.Service {
			continue
		}
		if demand.active(now, known.status.Heartbeat.Instance, p.options.DemandLife) > 0 {
			return false
		}
		if demand.waits(now, row, p.options.DemandLife).count > 0 && len(p.holders(row.Service, name)) <= 1 {
			return false
		}
	}
	return true
}

const (
	// evictionCost makes a runner with room preferable to one without.
	evictionCost = 0.05
	// patientHarm is how much of a late request it is to let a request wait for a load
	// that its objective leaves time for.
	patientHarm = 0.2
	// spareValue keeps replicas of models with some demand a little longer than others.
	spareValue = 0.02
)

// value is how many requests of the horizon are expected to be late without the
// runner's replica of the model.
func (p *Planner) value(known *runner, model *site.Model) float64 {
	service := known.status.Heartbeat.Service
	replicas := float64(len(p.holders(service, model.Name)))
	demand := p.modelDemand(service, model.Name)
	horizon := p.options.Horizon.Seconds()
	if replicas <= 1 {
		harm := 1.0
		if demand.objective > model.LoadTime {
			harm = patientHarm
		}
		return demand.rate * horizon * harm
	}
	excess := demand.rate - (replicas-1)*p.options.ReplicaRate
	return max(0, excess)*horizon + demand.rate*spareValue
}

func loadTime(known *runner, model *site.Model) time.Duration {
	switch {
	case slices.Contains(known.status.Heartbeat.InMemory, model.Name):
		return model.MemoryLoadTime
	case slices.Contains(known.status.Heartbeat.OnDisk, model.Name):
		return model.DiskLoadTime
	}
	return model.LoadTime
}

// takeLoad takes a load from what the weight store allows. Loads of a model of which
// the runner has a copy are not counted.
func (p *Planner) takeLoad(now time.Time, known *runner, row Row) bool {
	heartbeat := known.status.Heartbeat
	if slices.Contains(heartbeat.InMemory, row.Model) || slices.Contains(heartbeat.OnDisk, row.Model) {
		return true
	}
	begun := slices.DeleteFunc(p.loads[row.Service], func(at time.Time) bool { return now.Sub(at) > p.options.StoreWindow })
	p.loads[row.Service] = begun
	allowed := p.engineOf(known).LoadsPerSecond * p.options.StoreWindow.Seconds() * p.options.StoreShare
	if float64(len(begun)+1) > max(1, allowed) {
		return false
	}
	p.loads[row.Service] = append(begun, now)
	return true
}

// loadAdapter finds the runner on which an adapter costs least.
func (p *Planner) loadAdapter(now time.Time, row Row, holders []*runner) (Order, bool) {
	var best *runner
	var bestVictim adapterName
	lowest := math.Inf(1)
	for _, known := range holders {
		engine := p.engineOf(known)
		if engine == nil || !p.mayOrder(known) || known.incoming() >= maxIncoming {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model == nil {
			continue
		}
		cost := float64(known.adapters())
		var victim adapterName
		if known.adapters() >= engine.MaxAdapters || known.usedMB(engine)+model.AdapterMB > engine.WeightsMB {
			found, age := p.idleAdapter(now, known)
			if found.adapter == "" {
				continue
			}
			victim = found
			cost = 100 + 1/(1+age.Seconds())
		}
		if cost < lowest {
			best, bestVictim, lowest = known, victim, cost
		}
	}
	switch {
	case best == nil:
		return Order{}, false
	case bestVictim.adapter != "":
		return p.send(now, best, Unload, bestVictim.model, bestVictim.adapter), true
	}
	return p.send(now, best, Load, row.Model, row.Adapter), true
}

type adapterName struct{ model, adapter string }

// idleAdapter returns the adapter of the runner that has been unused the longest.
func (p *Planner) idleAdapter(now time.Time, known *runner) (adapterName, time.Duration) {
	var found adapterName
	longest := p.options.IdleTime
	for model, held := range known.holdings {
		for name, adapter := range held.adapters {
			age := now.Sub(adapter.usedAt)
			isOlder := age > longest || age == longest && found.adapter != "" && model+name < found.model+found.adapter
			if adapter.phase != phaseReady || !isOlder {
				continue
			}
			row := Row{Service: known.status.Heartbeat.Service, Model: model, Adapter: name}
			demand := p.demands[row]
			if demand != nil && demand.active(now, known.status.Heartbeat.Instance, p.options.DemandLife) > 0 {
				continue
			}
			found, longest = adapterName{model, name}, age
		}
	}
	return found, longest
}

// send notes an order as sent: what it loads is counted from now on, and what it
// unloads is no longer offered to requests.
func (p *Planner) send(now time.Time, known *runner, operation Operation, model, adapter string) Order {
	before := known.loaded()
	known.sent = true
	held := known.holdings[model]
	switch {
	case operation == Load && adapter == "":
		known.holdings[model] = newHolding(now, phaseUncertain)
	case operation == Load:
		held.adapters[adapter] = newHolding(now, phaseUncertain)
	case adapter == "":
		held.phase, held.since = phaseUnloading, now
	default:
		held.adapters[adapter].phase = phaseUnloading
	}
	p.noteChange(before, known)
	return Order{
		Instance:  known.status.Heartbeat.Instance,
		Address:   known.status.Heartbeat.Address,
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Expected:  known.taken,
	}
}
