package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func returning(amount float64, age time.Duration) []Want {
	return []Want{{Tenant: "t", Returned: []Return{{Amount: amount, Age: age}}}}
}

func TestReturnedAmountIsGrantedAgain(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	drawAt(d, origin, "a", waiting(100))
	at := origin.Add(500 * time.Millisecond)
	drawAt(d, at, "a", waiting(130))
	c.Assert(drawAt(d, at, "b", waiting(100)).Amount, qt.Equals, 0.0)
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 7, returning(100, 400*time.Millisecond))
	c.Assert(drawAt(d, at, "b", waiting(100)).Amount, qt.Equals, 100.0)
	// A repeated query returns nothing more.
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 7, returning(100, 400*time.Millisecond))
	c.Assert(d.TakeUsages(at)[0].Used, qt.Equals, 230.0)
	// Returns older than any grant, and invalid amounts, are ignored.
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 8, returning(100, 2*time.Second))
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 9, returning(-100, 0))
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 10, []Want{{Tenant: "nobody", Returned: []Return{{Amount: 5}}}})
	c.Assert(d.TakeUsages(at)[0].Used, qt.Equals, 230.0)
}

// Guards against returns that make a window count less than was used in it.
func TestReturnsAreDeductedFromOlderGrants(t *testing.T) {
	c := qt.New(t)
	d := newDivider()
	drawAt(d, origin, "a", waiting(50))
	drawAt(d, origin.Add(time.Second), "a", waiting(60))
	drawAt(d, origin.Add(2*time.Second), "a", waiting(70))
	at := origin.Add(3 * time.Second)
	d.ApplyReturns(at, RouterProcess{Router: "a"}, 1, returning(55, 1900*time.Millisecond))
	steps := d.windows["t"].granted
	c.Assert([]float64{steps[0].amount, steps[1].amount, steps[2].amount}, qt.DeepEquals, []float64{50, 5, 70})
}
