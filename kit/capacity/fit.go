package capacity

import (
	"math"
	"slices"
)

// Fit is a straight line through measured points by least squares.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the part of the variance that the line explains; 1 when all
	// values are equal and on the line.
	RSquared float64 `json:"r_squared"`
	// LargestResidual is the largest distance of a value from the line.
	LargestResidual float64 `json:"largest_residual"`
}

// LeastSquares fits a line. It needs as many values as sizes and two different
// sizes at least; otherwise all fields are NaN.
func LeastSquares(sizes, values []float64) Fit {
	nothing := Fit{math.NaN(), math.NaN(), math.NaN(), math.NaN()}
	if len(sizes) != len(values) || len(sizes) < 2 {
		return nothing
	}
	meanSize, meanValue := mean(sizes), mean(values)
	var covariance, sizeVariance, valueVariance float64
	for i := range sizes {
		fromSize, fromValue := sizes[i]-meanSize, values[i]-meanValue
		covariance += fromSize * fromValue
		sizeVariance += fromSize * fromSize
		valueVariance += fromValue * fromValue
	}
	if sizeVariance == 0 {
		return nothing
	}
	fit := Fit{Slope: covariance / sizeVariance}
	fit.Intercept = meanValue - fit.Slope*meanSize
	var unexplained float64
	for i := range sizes {
		residual := values[i] - fit.At(sizes[i])
		unexplained += residual * residual
		fit.LargestResidual = max(fit.LargestResidual, math.Abs(residual))
	}
	fit.RSquared = 1
	if valueVariance > 0 {
		fit.RSquared = 1 - unexplained/valueVariance
	}
	return fit
}

// Verdict says what a fit is good for.
type Verdict string

// The verdicts.
const (
	// VerdictLinear: the slope may be multiplied up.
	VerdictLinear Verdict = "linear"
	// VerdictFlat: the driver moves the value by less than flatPart of its mean,
	// and no value lies further than that from the line.
	VerdictFlat Verdict = "no measurable slope"
	// VerdictUneven: there is a slope, and the values lie off the line; use the
	// value of the largest size.
	VerdictUneven Verdict = "not a line"
)

const (
	// linearRSquared is the least R² of a fit that counts as a line.
	linearRSquared = 0.95
	flatPart       = 0.2
)

// Judge says what the fit of the values is good for.
func (f Fit) Judge(sizes, values []float64) Verdict {
	if math.IsNaN(f.Slope) {
		return VerdictUneven
	}
	rise := math.Abs(f.Slope) * (slices.Max(sizes) - slices.Min(sizes))
	switch {
	case max(rise, f.LargestResidual) < flatPart*math.Abs(mean(values)):
		return VerdictFlat
	case f.RSquared >= linearRSquared:
		return VerdictLinear
	}
	return VerdictUneven
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
