package residency

import (
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// busyUtilization is the utilization from which late streams count against the capacity of a
	// runner. Below lightUtilization, late streams are attributed to other causes.
	busyUtilization  = 0.7
	lightUtilization = 0.35
	// minBusyStreams is the number of streams at busy runners that must end before the scale
	// changes.
	minBusyStreams = 24
	// Above highLateShare, the share of late streams in excess of the baseline, the scale is
	// lowered; below lowLateShare it is raised. The expected share of a runner between
	// busyUtilization and full utilization is in between.
	highLateShare = 0.1
	lowLateShare  = 0.025
	// baselineSmoothing is the weight of a stream in the baseline, the share of late streams at
	// lightly loaded runners. baselineDecay is the factor by which the baseline decays each second.
	baselineSmoothing = 0.02
	baselineDecay     = 0.97
	// scaleDecrease and scaleIncrease are the steps of the scale: down within seconds, up slowly.
	scaleDecrease = 0.9
	scaleIncrease = 1.03
	// minScale and maxScale bound the correction of the modelled capacity. Arrivals are burstier
	// than the model assumes, so that late streams at busy runners would call for a scale of one
	// half or less; a lower bound would make all models in demand seem overloaded. unknownScale
	// bounds the correction in both directions while there is no model.
	minScale     = 0.5
	maxScale     = 1.5
	unknownScale = 3
	// servedSmoothing is the weight of the last interval in the stream rate of a runner.
	servedSmoothing = 0.3
	// workChange is the ratio by which a figure of the work must change before the capacity is
	// computed again.
	workChange = 1.1
)

// capacityModel is the capacity of the runners of a service.
type capacityModel struct {
	// work is the input of the model; unknown until enough streams have been observed.
	work pace.Work
	// loads holds the capacity tables by slowness, in steps of slownessStep.
	loads map[float64]*pace.Load
	// scale corrects the modelled capacity by the late streams at busy runners.
	scale float64
	// seen and late count the streams at busy runners since scale last changed.
	seen, late int
	// baseline is the share of late streams at lightly loaded runners, which noise, faults and
	// links cause.
	baseline float64
}

func (p *Planner) capacityModel(service string) *capacityModel {
	model := p.capacityModels[service]
	if model == nil {
		model = &capacityModel{scale: 1, loads: make(map[float64]*pace.Load)}
		p.capacityModels[service] = model
	}
	return model
}

// observeStream counts a stream that has ended.
func (p *Planner) observeStream(r *runner, seen Pace) {
	r.served++
	model := p.capacityModel(seen.Service)
	isLate := seen.Paused || seen.IsLate
	switch {
	case r.capacity <= 0 || r.limit > 0 || r.isCold():
		// The utilization of a runner with a rate limit, or of a cold one, says nothing about the
		// capacity of others.
	case r.servedRate >= busyUtilization*r.capacity:
		model.seen++
		if isLate {
			model.late++
		}
	case max(r.servedRate, float64(r.served)/judgeInterval.Seconds()) < lightUtilization*r.capacity:
		share := 0.0
		if isLate {
			share = 1
		}
		model.baseline += baselineSmoothing * (share - model.baseline)
	}
}

// countServed updates the stream rate of the runner.
func (r *runner) countServed(passed time.Duration) {
	if seconds := passed.Seconds(); seconds > 0 {
		r.servedRate += servedSmoothing * (float64(r.served)/seconds - r.servedRate)
	}
	r.served = 0
}

// updateCapacity applies the learned work and the late streams since the last call.
func (p *Planner) updateCapacity() {
	for name, model := range p.capacityModels {
		work := p.workOf(name)
		if work.IsKnown() && !isAlike(model.work, work) {
			if !model.work.IsKnown() {
				model.scale = 1
			}
			model.work = work
			clear(model.loads)
		}
		model.adjust()
		model.baseline *= baselineDecay
	}
}

// adjust corrects the scale by the streams that have ended at busy runners.
func (b *capacityModel) adjust() {
	if b.seen < minBusyStreams {
		return
	}
	least, most := minScale, maxScale
	if !b.work.IsKnown() {
		least, most = 1.0/unknownScale, unknownScale
	}
	switch share := float64(b.late)/float64(b.seen) - b.baseline; {
	case share > highLateShare:
		b.scale = max(least, b.scale*scaleDecrease)
	case share < lowLateShare:
		b.scale = min(most, b.scale*scaleIncrease)
	}
	b.seen, b.late = 0, 0
}

// isAlike reports whether two works are similar enough to share a capacity table.
func isAlike(a, b pace.Work) bool {
	isNear := func(a, b time.Duration) bool {
		return float64(a) < workChange*float64(b) && float64(b) < workChange*float64(a)
	}
	return isNear(a.Reading, b.Reading) && isNear(a.BlockingRead, b.BlockingRead) && isNear(a.Stream, b.Stream) &&
		a.MaxWait == b.MaxWait && a.Slots == b.Slots
}

// workOf returns the work of the requests of a service, with the shortest wait that one of its
// routes allows.
func (p *Planner) workOf(name string) pace.Work {
	work := p.paces.Work(name)
	if p.document == nil {
		return pace.Work{}
	}
	service := p.document.Service(name)
	if service == nil || service.Engine == nil {
		return pace.Work{}
	}
	work.Slots = service.Engine.Slots
	for i := range p.document.Document.Routes {
		route := &p.document.Document.Routes[i]
		leads := slices.ContainsFunc(route.Split, func(share site.Share) bool { return share.Service == name })
		if route.Kind != site.KindStream || !leads {
			continue
		}
		for _, limit := range []time.Duration{route.Objective, route.MaxPause} {
			if limit > 0 && (work.MaxWait == 0 || limit < work.MaxWait) {
				work.MaxWait = limit
			}
		}
	}
	return work
}

// slownessStep is the resolution of the slowness for which capacity tables are computed.
const slownessStep = 0.05

// slownessOf returns the slowness of a runner relative to the typical one; 1 if it is unknown.
func (p *Planner) slownessOf(r *runner) float64 {
	if slowness := r.judgement.Slowness; slowness > 0 {
		return max(slownessStep, math.Round(slowness/slownessStep)*slownessStep)
	}
	return 1
}

// loadAt returns the capacity table for the slowness; nil while the work is unknown.
func (b *capacityModel) loadAt(slowness float64) *pace.Load {
	if !b.work.IsKnown() {
		return nil
	}
	load := b.loads[slowness]
	if load == nil {
		load = b.work.At(slowness)
		b.loads[slowness] = load
	}
	return load
}

// capacityAt returns the capacity of a runner of the service in requests per second.
func (p *Planner) capacityAt(service string, slowness float64) float64 {
	model := p.capacityModel(service)
	if load := model.loadAt(slowness); load != nil {
		return load.Capacity() * model.scale
	}
	return p.options.ReplicaRate * model.scale / slowness
}

// maxRateAt returns the number of requests per second that a runner serves if they may be late. A
// scale below 1 doesn't reduce it.
func (p *Planner) maxRateAt(service string, slowness float64) float64 {
	return p.capacityAt(service, slowness) / min(1, p.capacityModel(service).scale)
}

// capability holds the rates that one runner serves over time, computed once for each plan.
type capability struct {
	// capacity is the mean rate that the runner serves in time within the horizon, in requests per
	// second, and typicalCapacity that of a typical runner of its service; maxRate is the rate it
	// serves if requests may be late.
	capacity        float64
	typicalCapacity float64
	maxRate         float64
	// warmCapacity is the capacity after the cold period, and capacity if there is none.
	warmCapacity float64
	cold         coldPeriod
	// table gives the share of late requests by rate, corrected by scale; nil while it is unknown.
	table *pace.Load
	scale float64
	// limit is the rate limit that the runner advertises in requests per second; 0 for none.
	limit float64
}

// unlimitedCapability returns the capability of a warm runner without a rate limit.
func (p *Planner) unlimitedCapability(service string, slowness float64) capability {
	model := p.capacityModel(service)
	return capability{
		capacity: p.capacityAt(service, slowness), typicalCapacity: p.capacityAt(service, 1), maxRate: p.maxRateAt(service, slowness),
		table: model.loadAt(slowness), scale: model.scale,
	}
}

// capabilityOf returns the capability of a runner from that of a warm runner without a rate limit.
func (p *Planner) capabilityOf(r *runner, found capability) capability {
	found.limit = r.status.Limit
	if found.limit > 0 {
		// Requests beyond the limit are not sent there, so that a model whose only replica is there
		// gets another one.
		found.capacity, found.maxRate = min(found.capacity, found.limit), min(found.maxRate, found.limit)
	}
	found.warmCapacity = found.capacity
	if cold := p.coldPeriodOf(r); cold.left > 0 {
		found.applyCold(cold)
	}
	return found
}

// lateShare returns the share of late requests at a rate in requests per second, over the horizon.
func (c *capability) lateShare(rate float64) float64 {
	late := c.warmLateShare(rate)
	if c.isCold() && rate > c.cold.rate {
		return c.cold.share*max(late, 1-c.cold.rate/rate) + (1-c.cold.share)*late
	}
	return late
}

// warmLateShare returns the share of late requests after the cold period.
func (c *capability) warmLateShare(rate float64) float64 {
	switch {
	case c.limit > 0 && rate > c.limit:
		return 1 - c.limit/rate
	case c.table != nil:
		return c.table.Late(rate / c.scale)
	case rate <= c.warmCapacity:
		return 0
	}
	return 1 - c.warmCapacity/rate
}

// assignDemand computes the expected rate of requests at each runner: the demand for a model is
// split among its replicas, those being loaded included, in proportion to their capacity.
func (p *Planner) assignDemand() {
	type kind struct {
		service  string
		slowness float64
	}
	unlimited := make(map[kind]capability)
	for _, r := range p.snapshot.sorted {
		of := kind{r.status.Heartbeat.Service, p.slownessOf(r)}
		found, isKnown := unlimited[of]
		if !isKnown {
			found = p.unlimitedCapability(of.service, of.slowness)
			unlimited[of] = found
		}
		r.capability = p.capabilityOf(r, found)
		r.load = 0
		p.snapshot.hasCold = p.snapshot.hasCold || r.isCold()
	}
	for row, demand := range p.snapshot.demands {
		replicas := p.replicas(row)
		total := totalCapacity(replicas)
		for _, r := range replicas {
			r.load += demand.rate * r.capacity / total
		}
	}
}

// replicas returns the runners that hold or load the model.
func (p *Planner) replicas(row Row) []*runner { return slices.Concat(p.holders(row), p.coming(row)) }

func totalCapacity(runners []*runner) float64 { return sumOf(runners, capacityOf) }

// capacityOf and warmCapacityOf return the mean capacity of a runner over the horizon, and that after
// its cold period.
func capacityOf(r *runner) float64     { return r.capacity }
func warmCapacityOf(r *runner) float64 { return r.warmCapacity }

func sumOf(runners []*runner, capacity func(*runner) float64) float64 {
	total := 0.0
	for _, r := range runners {
		total += capacity(r)
	}
	return total
}

// minCapacityShare is the share of a runner's capacity that each of its models can use at least:
// models with several replicas shift their requests elsewhere.
const minCapacityShare = 0.5

// availableCapacity returns the requests per second for the model that the runners can serve besides
// their other load. demand is the rate of the model, shared by replicas with the given total
// capacity.
func (p *Planner) availableCapacity(runners []*runner, demand, total float64) float64 {
	return availableWith(runners, demand, total, capacityOf)
}

// availableWith is availableCapacity for the given capacity of each runner.
func availableWith(runners []*runner, demand, total float64, capacity func(*runner) float64) float64 {
	sum := 0.0
	for _, r := range runners {
		others := r.load - demand*r.capacity/total
		sum += max(capacity(r)*minCapacityShare, capacity(r)-others)
	}
	return sum
}
