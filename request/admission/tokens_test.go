package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestTokensAreTakenAndRefilled(t *testing.T) {
	perCaller := TokenRate{PerSecond: 10, Burst: 100}
	perRow := TokenRate{PerSecond: 20, Burst: 150}
	type takeCall struct {
		at     time.Duration
		caller string
		row    structs.RowName
		tokens int
		wait   time.Duration
	}
	tests := []struct {
		about             string
		perCaller, perRow TokenRate
		calls             []takeCall
	}{
		{"no limits", TokenRate{}, TokenRate{}, []takeCall{{0, "a", "r", 1 << 30, 0}, {0, "a", "r", 1 << 30, 0}}},
		{"a burst, then the rate", perCaller, TokenRate{}, []takeCall{
			{0, "a", "r", 100, 0}, {0, "a", "r", 20, 2 * time.Second}, {time.Second, "a", "r", 20, time.Second}, {2 * time.Second, "a", "r", 20, 0},
		}},
		{"callers and rows are limited separately", perCaller, TokenRate{}, []takeCall{{0, "a", "r", 100, 0}, {0, "b", "r", 100, 0}, {0, "a", "s", 100, 0}}},
		{"the row limits all callers together", perCaller, perRow, []takeCall{{0, "a", "r", 100, 0}, {0, "b", "r", 90, 2 * time.Second}, {0, "b", "r", 50, 0}}},
		{"a refused request takes nothing", perCaller, perRow, []takeCall{{0, "a", "r", 90, 0}, {0, "a", "r", 60, 5 * time.Second}, {0, "b", "r", 60, 0}}},
		{"larger than the burst", perCaller, TokenRate{}, []takeCall{
			{0, "a", "r", 300, 0}, {0, "a", "r", 10, 21 * time.Second}, {21 * time.Second, "a", "r", 10, 0},
		}},
		{"larger than the burst, some used", perCaller, TokenRate{}, []takeCall{{0, "a", "r", 10, 0}, {0, "a", "r", 300, time.Second}, {time.Second, "a", "r", 300, 0}}},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			limits := NewTokenLimits(test.perCaller, test.perRow)
			for _, taken := range test.calls {
				wait, ok := limits.Take(start.Add(taken.at), taken.caller, taken.row, taken.tokens)
				qt.Check(t, wait, qt.Equals, taken.wait)
				qt.Check(t, ok, qt.Equals, taken.wait == 0)
			}
		})
	}
}

func TestReturnedTokensAreFreeUpToTheBurst(t *testing.T) {
	limits := NewTokenLimits(TokenRate{PerSecond: 1, Burst: 100}, TokenRate{PerSecond: 1, Burst: 100})
	limits.Take(start, "a", "r", 100)
	limits.Return(start, "a", "r", 40)
	wait, ok := limits.Take(start, "a", "r", 41)
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, wait, qt.Equals, time.Second)
	limits.Return(start, "a", "r", 1000)
	_, ok = limits.Take(start, "a", "r", 100)
	qt.Check(t, ok, qt.IsTrue)
	_, ok = limits.Take(start, "a", "r", 1)
	qt.Check(t, ok, qt.IsFalse)
}

// TestTakenTokensStayWithinTheRate also checks that the buckets of inactive callers are
// deleted.
func TestTakenTokensStayWithinTheRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	rate := TokenRate{PerSecond: 50, Burst: 500}
	limits := NewTokenLimits(rate, TokenRate{})
	taken := map[string]float64{}
	now := start
	for range 50_000 {
		now = now.Add(time.Duration(random.IntN(int(20 * time.Millisecond))))
		caller := fmt.Sprint(random.IntN(20))
		tokens := 1 + random.IntN(200)
		if _, ok := limits.Take(now, caller, "r", tokens); ok {
			taken[caller] += float64(tokens)
		}
		_, _ = limits.Take(now, fmt.Sprint("once-", random.Uint64()), "r", 1)
	}
	elapsed := now.Sub(start).Seconds()
	for caller, used := range taken {
		qt.Check(t, used <= rate.Burst+rate.PerSecond*elapsed, qt.IsTrue, qt.Commentf("%s: %f", caller, used))
		qt.Check(t, used >= 0.9*rate.PerSecond*elapsed, qt.IsTrue, qt.Commentf("%s: %f", caller, used))
	}
	qt.Check(t, len(limits.callers) < 2*minSweepSize, qt.IsTrue, qt.Commentf("%d", len(limits.callers)))
}
