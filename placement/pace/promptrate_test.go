package pace

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a lower prompt rate, and thus capacity, after an overload of twenty seconds.
func TestPromptRateIsKeptDuringOverload(t *testing.T) {
	learn := func(rates ...float64) float64 {
		var known service
		for _, rate := range rates {
			known.publishRate(rate)
		}
		return known.rate
	}
	var calm, overload []float64
	for range 30 {
		calm = append(calm, 31000)
	}
	for range 20 {
		overload = append(overload, 12000)
	}
	t.Run("an overload of twenty seconds", func(t *testing.T) {
		qt.Assert(t, learn(append(calm, overload...)...) >= 26000, qt.IsTrue)
	})
	t.Run("a first rate that is far too high", func(t *testing.T) {
		qt.Assert(t, learn(append([]float64{150000}, calm...)...) <= 40000, qt.IsTrue)
	})
	t.Run("after an overload", func(t *testing.T) {
		qt.Assert(t, learn(append(overload, calm[:10]...)...) >= 26000, qt.IsTrue)
	})
	t.Run("no rate", func(t *testing.T) { qt.Assert(t, learn(0, 0), qt.Equals, 0.0) })
}
