package report

import (
	"fmt"

	"github.com/lotusferry/lotusferry/kit/experiment"
)

// Target is the comparison of a result of the lotusferry policy with a bound.
type Target struct {
	Name     string  `json:"name"`
	Measured float64 `json:"measured"`
	Bound    float64 `json:"bound"`
	Met      bool    `json:"met"`
	// Detail describes the compared values.
	Detail string `json:"detail"`
}

// Bounds and units of the targets.
const (
	padanoColdBound  = 0.5
	padanoIdleBound  = 1.0
	meknesIdleBound  = 0.5
	meknesGateBound  = 0.999
	oracleBound      = 1.3
	secondsUnit      = "s"
	acceleratorHours = "h"
)

func targets(group Group) []Target {
	own, ok := group.summary(experiment.PolicyLotusferry)
	if !ok {
		return nil
	}
	var list []Target
	compare := func(name string, policy experiment.Policy, bound float64, unit string, figure func(Summary) float64) {
		if other, found := group.summary(policy); found {
			list = append(list, newRatioTarget(name, figure(own), figure(other), bound, unit))
		}
	}
	wait := func(s Summary) float64 { return s.ColdWaitP99.Mean }
	start := func(s Summary) float64 { return s.ColdStartP99.Mean }
	idle := func(s Summary) float64 { return s.IdleHours.Mean }
	switch group.Site {
	case "padano":
		compare("p99 cold wait of live calls, of that of lru", experiment.PolicyLRU, padanoColdBound, secondsUnit, wait)
		compare("p99 of cold starts alone, of that of lru", experiment.PolicyLRU, padanoColdBound, secondsUnit, start)
		compare("idle accelerator hours, of those of lru", experiment.PolicyLRU, padanoIdleBound, acceleratorHours, idle)
		compare("p99 cold wait of live calls, of that of the oracle", experiment.PolicyOracle, oracleBound, secondsUnit, wait)
		compare("p99 of cold starts alone, of that of the oracle", experiment.PolicyOracle, oracleBound, secondsUnit, start)
	case "meknes":
		compare("idle accelerator hours, of those of keep-alive", experiment.PolicyKeepAlive, meknesIdleBound, acceleratorHours, idle)
		list = append(list, Target{
			Name: "share of gate queries in time", Measured: own.GateInTime.Min, Bound: meknesGateBound,
			Met: own.GateInTime.Min >= meknesGateBound, Detail: "least of the seeds, at least",
		})
		compare("idle accelerator hours, of those of the oracle", experiment.PolicyOracle, oracleBound, acceleratorHours, idle)
	}
	return list
}

// newRatioTarget returns a target that requires own/other to be at most bound.
// If other is 0, own must be 0 too.
func newRatioTarget(name string, own, other, bound float64, unit string) Target {
	t := Target{Name: name, Bound: bound, Detail: fmt.Sprintf("%.2f %s of %.2f %s, at most", own, unit, other, unit)}
	if other > 0 {
		t.Measured = own / other
		t.Met = t.Measured <= bound
		return t
	}
	t.Met = own == 0
	t.Detail += " (no ratio: the other is 0)"
	return t
}

func (g Group) summary(policy experiment.Policy) (Summary, bool) {
	for _, summary := range g.Policies {
		if summary.Policy == policy {
			return summary, true
		}
	}
	return Summary{}, false
}
