package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// need is a model that should get one more replica, or a row that waits.
type need struct {
	row Row
	// gain is how many requests of the horizon the order would save from being late.
	gain float64
	// borne is how many requests a second the replicas that it has or gets bear together.
	borne float64
	// isWaitedFor is set if requests wait that nobody can serve.
	isWaitedFor bool
	priority    int
	// oldest is how long the oldest request has waited.
	oldest time.Duration
	// isDue is set if a request becomes late unless its model is loaded next.
	isDue bool
	// isUnreachable is set if nobody has the model, or its requests are late and nothing can
	// make way for it where it has copies.
	isUnreachable bool
	// isFromCopy is set if only a load from a copy will do: the model is being loaded from the weight
	// store already, or one replica more is wanted only against the loss of a zone, for which nobody
	// who waits for the store is held up.
	isFromCopy bool
	// isAhead is set if nobody asks for the model yet.
	isAhead bool
	// zones are those in which the model is to be loaded; nil for any.
	zones []string
	// obstacle is why the plan did not bring it about.
	obstacle Obstacle
	// spread is worked out when a place is looked for; nil before.
	spread *spread
}

// needs lists the models that should be loaded, in the order of byTurn.
func (p *Planner) needs(now time.Time) []need {
	found := make(map[Row]*need)
	for _, wanted := range p.waits(now) {
		row := modelOf(wanted.row)
		isComing := isAnyIn(p.coming(row), wanted.zones)
		if p.isServed(now, row, wanted.zones) || isComing && !p.isCopyQuicker(now, row) {
			continue
		}
		if found[row] == nil {
			found[row] = &need{row: row, isWaitedFor: true, priority: wanted.priority, isFromCopy: isComing}
		}
		if wanted.zones != nil {
			found[row].zones = wanted.zones
		}
		found[row].priority = min(found[row].priority, wanted.priority)
		found[row].oldest = max(found[row].oldest, wanted.oldest)
		found[row].gain += float64(wanted.count) * (1 + wanted.oldest.Seconds()/agingTime.Seconds())
	}
	for row := range p.tally.demands {
		p.addCrowded(found, row)
	}
	var listed []need
	for _, each := range found {
		each.borne = totalBorne(p.replicas(each.row))
		if each.isWaitedFor {
			each.gain += p.modelDemand(each.row).rate * p.options.Horizon.Seconds()
			each.gain *= urgency(each.priority)
			each.isDue = p.isDue(each)
			each.isUnreachable = p.isUnreachable(now, each)
			if each.isUnreachable {
				p.tally.unreachable[each.row] = each.gain
			}
		}
		listed = append(listed, *each)
	}
	listed = append(listed, p.needsAhead(now, listed)...)
	slices.SortFunc(listed, byTurn)
	return listed
}

// isAnyIn reports whether one of the runners is in one of the zones; nil stands for all zones.
func isAnyIn(runners []*runner, zones []string) bool {
	return slices.ContainsFunc(runners, func(known *runner) bool { return known.isIn(zones) })
}

// isIn reports whether the runner is in one of the zones; nil stands for all zones.
func (r *runner) isIn(zones []string) bool {
	return zones == nil || slices.Contains(zones, r.status.Heartbeat.Zone)
}

// byTurn orders needs by their gain, of which that of needs that are due counts more.
func byTurn(a, b need) int {
	return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.priority, b.priority), strings.Compare(a.row.Model, b.row.Model))
}

// isCopyQuicker reports whether the loads of the model under way take longer than the horizon, and
// a load from a copy, begun now, would end sooner. Of quicker loads the end is awaited: a second
// replica of a cold model takes the place of another.
func (p *Planner) isCopyQuicker(now time.Time, row Row) bool {
	comingIn := p.comingIn(now, row)
	if comingIn <= p.options.Horizon {
		return false
	}
	for _, known := range p.tally.copies[row] {
		engine := p.engineOf(known)
		if engine == nil {
			continue
		}
		model := engine.ModelByName(row.Model)
		if model != nil && known.holdings[row.Model] == nil && unloadTime+loadTime(known, model) < comingIn {
			return true
		}
	}
	return false
}

// agingTime is the waiting that doubles the weight of a request, so that nobody waits
// for ever behind those who are many.
const agingTime = 3 * time.Second

// priorityStep is by how much less a request weighs than one of the next more urgent
// priority. The document ranks routes without saying how much more one is worth: two and
// a half times lets the urgent go first, and many of the less urgent before few. Half of
// it does as well, twice of it worse (docs/design/further.md).
const priorityStep = 0.4

// urgency weighs requests that wait by the priority of their route; 0 is the most
// urgent.
func urgency(priority int) float64 {
	return 2 * math.Pow(priorityStep, float64(min(max(0, priority), 9)))
}

// addCrowded adds the model to the needs if it should have one more replica.
func (p *Planner) addCrowded(found map[Row]*need, row Row) {
	if found[row] != nil {
		return
	}
	crowding, zoneGain := p.crowding(row), p.zoneGain(row)
	if crowding+zoneGain > 0 {
		found[row] = &need{row: row, gain: crowding + zoneGain, isFromCopy: crowding == 0}
	}
}

const (
	// spareRate is the demand in requests a second from which a model should have a
	// second replica, and spareGain the part of the requests that one is worth.
	spareRate = 1
	spareGain = 0.1
)

// crowding is how many requests of the horizon are late for want of replicas of the model: too
// many for what the replicas bear, those on their way included, and some of those at runners that
// do too much else or are slow. One replica more serves a part of them; the whole is what needs are
// ordered by, so that a model with one replica for 130 requests a second comes before
// one with two for 30. A model in demand that has a single replica would be lost with its runner,
// which counts a little.
func (p *Planner) crowding(row Row) float64 {
	replicas := p.replicas(row)
	rate := p.modelDemand(row).rate
	if len(replicas) == 0 {
		return 0
	}
	total := totalBorne(replicas)
	gain := max(0, rate-p.capacity(replicas, rate, total))
	for _, known := range replicas {
		gain = max(gain, known.lateThere(rate*known.borne/total))
	}
	if len(replicas) == 1 && rate > spareRate {
		gain = max(gain, rate*spareGain)
	}
	return gain * p.options.Horizon.Seconds()
}

// lateThere is how many of the requests for a model that the runner gets are late, if they are
// more than callers put up with.
func (r *runner) lateThere(rate float64) float64 {
	if r.load <= r.borne {
		return 0
	}
	return rate * r.lateAt(r.load)
}
