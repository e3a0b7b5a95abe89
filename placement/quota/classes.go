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
)

// classUse is what requests of one kind asked for and were granted lately, in units of the limit.
type classUse struct {
	asked  float64
	served float64
}

// classes compares the kinds of a tenant's requests.
type classes struct {
	byName map[string]*classUse
	total  classUse
	at     time.Time
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
		known.served = max(0, known.served*left)
		if known.asked < 1e-6 && known.served < 1e-6 {
			// A promise may still point to it, which does no harm.
			delete(c.byName, name)
			continue
		}
		c.total.asked += known.asked
		c.total.served += known.served
	}
}

func (c *classes) ask(known *classUse, cost float64) {
	known.asked += cost
	c.total.asked += cost
}

func (c *classes) serve(known *classUse, cost float64) {
	known.served += cost
	c.total.served += cost
}

// isDue reports whether a class was granted no larger part of what it asked for than the tenant's
// classes together. There always is one.
func (c *classes) isDue(known *classUse) bool {
	return known.served*c.total.asked <= known.asked*c.total.served*(1+dueSlack)
}

// dueSlack keeps classes that differ by rounding alone from waiting for each other.
const dueSlack = 0.02
