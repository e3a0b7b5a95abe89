package capacity

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

var fiveSizes = []float64{1, 2, 4, 8, 16}

func TestLeastSquaresRecoversExactLine(t *testing.T) {
	c := qt.New(t)
	var values []float64
	for _, size := range fiveSizes {
		values = append(values, 3+2.5*size)
	}
	fit := LeastSquares(fiveSizes, values)
	c.Assert(math.Abs(fit.Intercept-3) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(fit.Slope-2.5) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(fit.RSquared-1) < 1e-9, qt.IsTrue)
	c.Assert(fit.LargestResidual < 1e-9, qt.IsTrue)
	c.Assert(fit.Judge(fiveSizes, values), qt.Equals, VerdictLinear)
}

func TestLeastSquaresLargestResidual(t *testing.T) {
	c := qt.New(t)
	// The fitted line is 1 + 0·size, so the second value has the residual 2.
	fit := LeastSquares([]float64{1, 2, 3}, []float64{0, 3, 0})
	c.Assert(math.Abs(fit.Slope) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(fit.Intercept-1) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(fit.LargestResidual-2) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(fit.RSquared) < 1e-9, qt.IsTrue)
}

func TestLeastSquaresOfTooFewPointsIsNaN(t *testing.T) {
	c := qt.New(t)
	for _, sizes := range [][]float64{{}, {4}, {4, 4}} {
		fit := LeastSquares(sizes, make([]float64, len(sizes)))
		c.Assert(math.IsNaN(fit.Slope), qt.IsTrue)
		c.Assert(fit.Judge(sizes, make([]float64, len(sizes))), qt.Equals, VerdictUneven)
	}
	c.Assert(math.IsNaN(LeastSquares([]float64{1, 2}, []float64{1}).Slope), qt.IsTrue)
}

func TestJudgeClassifiesFits(t *testing.T) {
	for name, test := range map[string]struct {
		values []float64
		want   Verdict
	}{
		"flat with noise":      {[]float64{100, 103, 98, 101, 100}, VerdictFlat},
		"a step":               {[]float64{10, 10, 10, 10, 100}, VerdictUneven},
		"a peak in the middle": {[]float64{10, 50, 90, 50, 30}, VerdictUneven},
		"proportional":         {[]float64{1, 2, 4, 8, 16}, VerdictLinear},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(LeastSquares(fiveSizes, test.values).Judge(fiveSizes, test.values), qt.Equals, test.want)
		})
	}
}
