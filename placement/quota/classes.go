package quota

import (
	"math"
	"time"
)

const (
	// classDecayTime is the time constant with which the use of classes decays.
	classDecayTime = 2 * time.Second
	// maxClasses bounds the classes per tenant.
	maxClasses = 64
	// smallWeight and urgentWeight weight the share of classes whose mean cost is at most
	// smallCostRatio of the overall mean, and of classes that are late within urgentTime. The same
	// amount serves more small requests, and patient callers can retry later.
	smallWeight    = 1.25
	urgentWeight   = 1.25
	smallCostRatio = 0.5
	urgentTime     = time.Second
)

// classUse is the decayed amount that requests of one class asked for and were granted, in units of
// the limit.
type classUse struct {
	asked  float64
	served float64
	// count is the decayed number of the requests that asked.
	count float64
	// isUrgent is set if the last request was due within urgentTime.
	isUrgent bool
}

// weight returns the weight of a class's demand relative to other classes.
func (c *classes) weight(known *classUse) float64 {
	weight := 1.0
	if known.asked*c.total.count <= smallCostRatio*c.total.asked*known.count {
		weight *= smallWeight
	}
	if known.isUrgent {
		weight *= urgentWeight
	}
	return weight
}

// classes tracks the use of a tenant's limit by class of request.
type classes struct {
	byName map[string]*classUse
	total  classUse
	// weighted is the sum of the demand of all classes by their weights.
	weighted float64
	at       time.Time
}

// of returns the decayed use of a class.
func (c *classes) of(at time.Time, name string) *classUse {
	c.decay(at)
	known := c.byName[name]
	if known == nil {
		if len(c.byName) >= maxClasses {
			name = ""
		}
		if known = c.byName[name]; known == nil {
			known = &classUse{}
			c.byName[name] = known
		}
	}
	return known
}

// decayStep is the minimum time between two updates of the decay.
const decayStep = 10 * time.Millisecond

func (c *classes) decay(at time.Time) {
	if c.byName == nil {
		c.byName = make(map[string]*classUse)
	}
	passed := at.Sub(c.at)
	if passed < decayStep {
		return
	}
	c.at = at
	factor := math.Exp(-passed.Seconds() / classDecayTime.Seconds())
	c.total = classUse{}
	for name, known := range c.byName {
		known.asked *= factor
		known.count *= factor
		known.served = max(0, known.served*factor)
		if known.asked < 1e-6 && known.served < 1e-6 {
			// A booking may still refer to it, which is harmless.
			delete(c.byName, name)
			continue
		}
		c.total.asked += known.asked
		c.total.count += known.count
		c.total.served += known.served
	}
	c.weighted = 0
	for _, known := range c.byName {
		c.weighted += known.asked * c.weight(known)
	}
}

func (c *classes) recordAsked(known *classUse, cost float64) {
	known.asked += cost
	known.count++
	c.total.asked += cost
	c.total.count++
	c.weighted += cost * c.weight(known)
}

func (c *classes) recordServed(known *classUse, cost float64) {
	known.served += cost
	c.total.served += cost
}

// isBelowShare reports whether the class was granted at most its weighted share of what the
// tenant's classes were granted together. This holds for at least one class.
func (c *classes) isBelowShare(known *classUse) bool {
	return known.served*c.weighted <= known.asked*c.weight(known)*c.total.served*(1+shareTolerance)
}

// shareTolerance keeps rounding errors from blocking classes with equal shares.
const shareTolerance = 0.02
