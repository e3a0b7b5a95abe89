package quota

import (
	"math"
	"time"
)

const (
	// classTime is the time over which the kinds of a tenant's requests are compared: some
	// requests of each, at the uses at which limits matter.
	classTime = 2 * time.Second
	// maxClasses bounds the kinds that are told apart.
	maxClasses = 64
	// smallFavour and urgentFavour are by how much more of what they ask for kinds get that are small,
	// of half the mean cost or less, and that are late within urgentTime. The same room serves
	// more callers who are small; who can wait comes back later and finds room without it.
	smallFavour  = 1.25
	urgentFavour = 1.25
	smallShare   = 0.5
	urgentTime   = time.Second
)

// classUse is what requests of one kind asked for and were granted lately, in units of the limit.
type classUse struct {
	asked  float64
	served float64
	// count is that of the requests that asked.
	count float64
	// isUrgent is set if the last of them was late soon.
	isUrgent bool
}

// weight is how much of what it asks for a class should be granted, against others.
func (c *classes) weight(known *classUse) float64 {
	weight := 1.0
	if known.asked*c.total.count <= smallShare*c.total.asked*known.count {
		weight *= smallFavour
	}
	if known.isUrgent {
		weight *= urgentFavour
	}
	return weight
}

// classes compares the kinds of a tenant's requests.
type classes struct {
	byName map[string]*classUse
	total  classUse
	// weighted is the sum of what was asked for, each class by its weight.
	weighted float64
	at       time.Time
}

// of returns the use of a class after the past has faded.
func (c *classes) of(at time.Time, name string) *classUse {
	c.fade(at)
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

// fadeStep spares the reckoning for times that differ by less.
const fadeStep = 10 * time.Millisecond

func (c *classes) fade(at time.Time) {
	if c.byName == nil {
		c.byName = make(map[string]*classUse)
	}
	passed := at.Sub(c.at)
	if passed < fadeStep {
		return
	}
	c.at = at
	left := math.Exp(-passed.Seconds() / classTime.Seconds())
	c.total = classUse{}
	for name, known := range c.byName {
		known.asked *= left
		known.count *= left
		known.served = max(0, known.served*left)
		if known.asked < 1e-6 && known.served < 1e-6 {
			// A promise may still point to it, which does no harm.
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

func (c *classes) ask(known *classUse, cost float64) {
	known.asked += cost
	known.count++
	c.total.asked += cost
	c.total.count++
	c.weighted += cost * c.weight(known)
}

func (c *classes) serve(known *classUse, cost float64) {
	known.served += cost
	c.total.served += cost
}

// isDue reports whether a class was granted no larger part of what it asked for than the tenant's
// classes together, by their weights. There always is one.
func (c *classes) isDue(known *classUse) bool {
	return known.served*c.weighted <= known.asked*c.weight(known)*c.total.served*(1+dueSlack)
}

// dueSlack keeps classes that differ by rounding alone from waiting for each other.
const dueSlack = 0.02
