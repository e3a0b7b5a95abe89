package capacity

import (
	"math"
	"slices"
)

// Fit is a least-squares line through measured points.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// RSquared is the coefficient of determination, or 1 if all values are equal.
	RSquared float64 `json:"r_squared"`
	// LargestResidual is the maximum absolute residual.
	LargestResidual float64 `json:"largest_residual"`
}

// LeastSquares returns the line fitted to the values at the sizes. All fields are NaN
// if the lengths differ or if there are fewer than two distinct sizes.
func LeastSquares(sizes, values []float64) Fit {
	undefined := Fit{math.NaN(), math.NaN(), math.NaN(), math.NaN()}
	if len(sizes) != len(values) || len(sizes) < 2 {
		return undefined
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
		return undefined
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

// Verdict classifies a fit.
type Verdict string

// The verdicts.
const (
	// VerdictLinear means that the slope can be extrapolated.
	VerdictLinear Verdict = "linear"
	// VerdictFlat means that the change over the sizes and the largest residual are
	// below flatFraction of the mean.
	VerdictFlat Verdict = "no measurable slope"
	// VerdictUneven means that the values change but do not fit a line. Use the value
	// at the largest size.
	VerdictUneven Verdict = "not a line"
)

const (
	// linearRSquared is the minimum R² of a linear fit.
	linearRSquared = 0.95
	flatFraction   = 0.2
)

// Judge returns the verdict on f as a fit of the values at the sizes.
func (f Fit) Judge(sizes, values []float64) Verdict {
	if math.IsNaN(f.Slope) {
		return VerdictUneven
	}
	rise := math.Abs(f.Slope) * (slices.Max(sizes) - slices.Min(sizes))
	switch {
	case max(rise, f.LargestResidual) < flatFraction*math.Abs(mean(values)):
		return VerdictFlat
	case f.RSquared >= linearRSquared:
		return VerdictLinear
	}
	return VerdictUneven
}

// At returns the value of the line at size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
