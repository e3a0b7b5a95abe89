package lab

import (
	"fmt"
	"math"
)

// Comparable holds the fields that the reports of fleet runs and of the load tool share.
type Comparable struct {
	Totals
	EditInForce          Percentiles `json:"edit_in_force_seconds"`
	IdleAcceleratorHours float64     `json:"idle_accelerator_hours"`
	Violations           []Violation `json:"violations"`
}

// Difference is one metric of two reports.
type Difference struct {
	Name string  `json:"name"`
	A    float64 `json:"a"`
	B    float64 `json:"b"`
	// Change is (B-A)/A, and 0 when A is 0.
	Change float64 `json:"change"`
	// Worse tells that B is worse than A by more than the tolerance.
	Worse bool `json:"worse"`
}

// latencyFloor is the latency difference in seconds that is attributed to jitter.
const latencyFloor = 0.005

// Compare compares the metrics of B with those of A. A metric is worse if it degrades by
// more than tolerance relative to A; latencies must also differ by at least 5 ms. Any
// increase in lost requests or violations is worse.
func Compare(a, b Comparable, tolerance float64) []Difference {
	list := []Difference{
		higherIsWorse("violations", float64(len(a.Violations)), float64(len(b.Violations)), 0, 0),
		higherIsWorse("lost", float64(a.Lost), float64(b.Lost), 0, 0),
		neutral("requests", float64(a.Requests), float64(b.Requests)),
		lowerIsWorse("answered share", share(a.Answered, a.Requests), share(b.Answered, b.Requests), tolerance),
		lowerIsWorse("live in time", a.LiveInTime, b.LiveInTime, tolerance),
	}
	for _, kind := range []struct {
		name string
		a, b Percentiles
	}{
		{"cold start", a.ColdStart, b.ColdStart}, {"first token", a.FirstToken, b.FirstToken},
		{"longest token gap", a.TokenGap, b.TokenGap}, {"edit in force", a.EditInForce, b.EditInForce},
	} {
		if kind.a.Count == 0 || kind.b.Count == 0 {
			continue
		}
		list = append(list,
			higherIsWorse(kind.name+" p50 (s)", kind.a.P50, kind.b.P50, tolerance, latencyFloor),
			higherIsWorse(kind.name+" p95 (s)", kind.a.P95, kind.b.P95, tolerance, latencyFloor),
			higherIsWorse(kind.name+" p99 (s)", kind.a.P99, kind.b.P99, tolerance, latencyFloor))
	}
	if a.IdleAcceleratorHours > 0 && b.IdleAcceleratorHours > 0 {
		list = append(list, higherIsWorse("idle accelerator hours", a.IdleAcceleratorHours, b.IdleAcceleratorHours, tolerance, 0))
	}
	return list
}

// Verdict returns the reason why B does not pass, or "".
func Verdict(b Comparable, differences []Difference) string {
	if len(b.Violations) > 0 {
		return fmt.Sprintf("B has %d violations", len(b.Violations))
	}
	for _, difference := range differences {
		if difference.Worse {
			return fmt.Sprintf("B is worse: %s %.4g instead of %.4g", difference.Name, difference.B, difference.A)
		}
	}
	return ""
}

func higherIsWorse(name string, a, b, tolerance, floor float64) Difference {
	d := neutral(name, a, b)
	d.Worse = b-a > math.Max(tolerance*a, floor)
	return d
}

func lowerIsWorse(name string, a, b, tolerance float64) Difference {
	d := neutral(name, a, b)
	d.Worse = a-b > tolerance*a
	return d
}

func neutral(name string, a, b float64) Difference {
	d := Difference{Name: name, A: a, B: b}
	if a != 0 {
		d.Change = (b - a) / a
	}
	return d
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
