package residency

import (
	"math"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/site"
)

const (
	// busyShare is the part of what a runner is believed to bear from which its streams tell
	// whether it bears that, and calmShare that below which late ones have other causes.
	busyShare = 0.7
	calmShare = 0.35
	// bearingSample is how many streams at busy runners must have ended before the belief is
	// changed.
	bearingSample = 24
	// tooManyLate is the share of late ones, beyond that at calm runners, from which a runner
	// bears less than was believed, and fewLate that below which it bears more: on either side
	// of what is expected of a runner between busyShare of what it bears and all of it.
	tooManyLate = 0.1
	fewLate     = 0.025
	// calmSmoothing is the weight of a stream in the share of late ones at calm runners, and
	// calmFade what is left of that share after a second: it counts for half a minute.
	calmSmoothing = 0.02
	calmFade      = 0.97
	// lessBorne and moreBorne are the steps of the belief: down in a few seconds, up slowly.
	lessBorne = 0.9
	moreBorne = 1.03
	// leastScale and mostScale bound what streams make of the forecast. Requests come in clumps and
	// in waves, which the forecast does not know: on a site with waves of half of the demand, late
	// streams at busy runners ask for half of it and less. Less than half is not believed: all models
	// in demand then seem overrun alike. unknownScale is the bound either way while there is no forecast.
	leastScale   = 0.5
	mostScale    = 1.5
	unknownScale = 3
	// servedSmoothing is the weight of a second in a runner's rate of streams.
	servedSmoothing = 0.3
	// workChange is by how much a figure of the work must change for what runners bear to be
	// worked out anew.
	workChange = 1.1
)

// bearing is what the runners of a service bear.
type bearing struct {
	// work is what it is worked out from; unknown until the streams tell.
	work pace.Work
	// loads are by slowness, in steps of slownessGrain.
	loads map[float64]*pace.Load
	// scale corrects the forecast by the streams that were late at busy runners.
	scale float64
	// seen and late count streams at busy runners since scale was last changed.
	seen, late int
	// lateAnyway is the share of late streams at calm runners: noise, faults and links make them.
	lateAnyway float64
}

func (p *Planner) bearing(service string) *bearing {
	known := p.bearings[service]
	if known == nil {
		known = &bearing{scale: 1, loads: make(map[float64]*pace.Load)}
		p.bearings[service] = known
	}
	return known
}

// observeBearing counts a stream that has ended.
func (p *Planner) observeBearing(known *runner, seen Pace) {
	known.served++
	of := p.bearing(seen.Service)
	isLate := seen.Paused || seen.IsLate
	switch {
	case known.borne <= 0 || known.limit > 0:
		// How busy a runner is that names a limit says nothing of what others bear.
	case known.servedRate >= busyShare*known.borne:
		of.seen++
		if isLate {
			of.late++
		}
	case max(known.servedRate, float64(known.served)/judgeInterval.Seconds()) < calmShare*known.borne:
		share := 0.0
		if isLate {
			share = 1
		}
		of.lateAnyway += calmSmoothing * (share - of.lateAnyway)
	}
}

// countServed brings the runner's rate of streams up to date.
func (r *runner) countServed(passed time.Duration) {
	if seconds := passed.Seconds(); seconds > 0 {
		r.servedRate += servedSmoothing * (float64(r.served)/seconds - r.servedRate)
	}
	r.served = 0
}

// judgeBearing takes what was learned of the work, and of late streams.
func (p *Planner) judgeBearing() {
	for name, known := range p.bearings {
		work := p.workOf(name)
		if work.IsKnown() && !isAlike(known.work, work) {
			if !known.work.IsKnown() {
				known.scale = 1
			}
			known.work = work
			clear(known.loads)
		}
		known.adjust()
		known.lateAnyway *= calmFade
	}
}

// adjust corrects the forecast by the streams that have ended at busy runners.
func (b *bearing) adjust() {
	if b.seen < bearingSample {
		return
	}
	least, most := leastScale, mostScale
	if !b.work.IsKnown() {
		least, most = 1.0/unknownScale, unknownScale
	}
	switch share := float64(b.late)/float64(b.seen) - b.lateAnyway; {
	case share > tooManyLate:
		b.scale = max(least, b.scale*lessBorne)
	case share < fewLate:
		b.scale = min(most, b.scale*moreBorne)
	}
	b.seen, b.late = 0, 0
}

// isAlike reports whether two works need no other table.
func isAlike(a, b pace.Work) bool {
	isNear := func(a, b time.Duration) bool {
		return float64(a) < workChange*float64(b) && float64(b) < workChange*float64(a)
	}
	return isNear(a.Reading, b.Reading) && isNear(a.Hindrance, b.Hindrance) && isNear(a.Stream, b.Stream) &&
		a.Patience == b.Patience && a.Slots == b.Slots
}

// workOf is what the requests of a service take, with the patience of its most urgent route.
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
			if limit > 0 && (work.Patience == 0 || limit < work.Patience) {
				work.Patience = limit
			}
		}
	}
	return work
}

// slownessGrain is the least difference in slowness for which runners have tables of their own.
const slownessGrain = 0.05

// slownessOf is how many times as long as the usual one a runner takes, as far as is known.
func (p *Planner) slownessOf(known *runner) float64 {
	if slowness := p.judgements[known.status.Heartbeat.Instance].Slowness; slowness > 0 {
		return max(slownessGrain, math.Round(slowness/slownessGrain)*slownessGrain)
	}
	return 1
}

// loadAt is the table of what a runner of the slowness bears; nil while that is not known.
func (b *bearing) loadAt(slowness float64) *pace.Load {
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

// borneAt is how many requests a second a runner of a service bears.
func (p *Planner) borneAt(service string, slowness float64) float64 {
	of := p.bearing(service)
	if load := of.loadAt(slowness); load != nil {
		return load.Borne() * of.scale
	}
	return p.options.ReplicaRate * of.scale / slowness
}

// mostAt is how many requests a second a runner of a service serves if they may be late: what late
// streams make of the forecast leaves it as it is.
func (p *Planner) mostAt(service string, slowness float64) float64 {
	return p.borneAt(service, slowness) / min(1, p.bearing(service).scale)
}

// capability is what one runner bears, looked up once for each plan.
type capability struct {
	// borne is how many requests a second it bears, and usual how many a usual runner of its
	// service does; most is how many it serves if they may be late.
	borne float64
	usual float64
	most  float64
	// table tells which part of requests is late at which rate, corrected by scale; nil while
	// that is not known.
	table *pace.Load
	scale float64
	// limit is the rate limit that the runner names, in requests a second; 0 for none.
	limit float64
}

func (p *Planner) capabilityOf(known *runner) capability {
	service, slowness := known.status.Heartbeat.Service, p.slownessOf(known)
	of := p.bearing(service)
	found := capability{
		borne: p.borneAt(service, slowness), usual: p.borneAt(service, 1), most: p.mostAt(service, slowness),
		table: of.loadAt(slowness), scale: of.scale, limit: known.status.Limit,
	}
	if found.limit > 0 {
		// What routers don't send there counts for nothing, so that a model whose only replica is there gets
		// another one.
		found.borne, found.most = min(found.borne, found.limit), min(found.most, found.limit)
	}
	return found
}

// lateAt is the part of the requests that are late at a rate of requests a second.
func (c *capability) lateAt(rate float64) float64 {
	switch {
	case c.limit > 0 && rate > c.limit:
		return 1 - c.limit/rate
	case c.table != nil:
		return c.table.Late(rate / c.scale)
	case rate <= c.borne:
		return 0
	}
	return 1 - c.borne/rate
}

// spreadDemand works out how many requests a second each runner should get: those for a model go
// to its replicas, the coming ones included, by what their runners bear.
func (p *Planner) spreadDemand() {
	for _, known := range p.tally.sorted {
		known.capability = p.capabilityOf(known)
		known.load = 0
	}
	for row, demand := range p.tally.demands {
		replicas := p.replicas(row)
		total := totalBorne(replicas)
		for _, known := range replicas {
			known.load += demand.rate * known.borne / total
		}
	}
}

// replicas lists the runners that hold the model or load it.
func (p *Planner) replicas(row Row) []*runner { return slices.Concat(p.holders(row), p.coming(row)) }

func totalBorne(runners []*runner) float64 {
	total := 0.0
	for _, known := range runners {
		total += known.borne
	}
	return total
}

// leastRoom is the part of what a runner bears that a model there may count on beside others:
// those that have more replicas leave it room.
const leastRoom = 0.5

// capacity is how many requests a second for the model the runners bear beside what else they
// do, of the demand for it that replicas with totalBorne share now.
func (p *Planner) capacity(runners []*runner, demand, total float64) float64 {
	sum := 0.0
	for _, known := range runners {
		others := known.load - demand*known.borne/total
		sum += max(known.borne*leastRoom, known.borne-others)
	}
	return sum
}
