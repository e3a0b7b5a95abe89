package capacity

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestEveryProbeHasEnoughSizes(t *testing.T) {
	c := qt.New(t)
	for _, p := range allProbes() {
		c.Assert(len(p.sizes) >= minSizes, qt.IsTrue, qt.Commentf("%s: %s", p.role, p.name))
		c.Assert(slices.IsSorted(p.sizes), qt.IsTrue, qt.Commentf("%s: %s", p.role, p.name))
	}
}

func TestEveryProbeMeasuresItsSmallestSize(t *testing.T) {
	for _, p := range allProbes() {
		t.Run(p.role+" "+p.name, func(t *testing.T) {
			value := p.measure(p.sizes[0])
			qt.Assert(t, value >= 0 && !math.IsNaN(value), qt.IsTrue, qt.Commentf("%v", value))
		})
	}
}

// Encoded sizes do not depend on the machine.
func TestByteProbesAreLinearAndRepeatable(t *testing.T) {
	for _, p := range engineProbes() {
		if p.unit != unitBytes {
			continue
		}
		t.Run(p.name+" per "+p.driver, func(t *testing.T) {
			c := qt.New(t)
			first, second := p.run(), p.run()
			c.Assert(first, qt.DeepEquals, second)
			c.Assert(first.Verdict, qt.Equals, VerdictLinear)
			c.Assert(first.RSquared > linearRSquared, qt.IsTrue)
		})
	}
}

func TestProbeReportsUnevenAndFlatValues(t *testing.T) {
	c := qt.New(t)
	sizes := []int{1, 2, 4, 8, 16}
	uneven := probe{sizes: sizes, measure: func(size int) float64 { return math.Exp2(float64(size)) }}.run()
	c.Assert(uneven.Verdict, qt.Equals, VerdictUneven)
	c.Assert(uneven.LargestResidual > 0, qt.IsTrue)
	flat := probe{sizes: sizes, measure: func(int) float64 { return 7 }}.run()
	c.Assert(flat.Verdict, qt.Equals, VerdictFlat)
}

func TestRetainedHeapBesideCountsRetainedBytes(t *testing.T) {
	c := qt.New(t)
	const kept = 8 << 20
	size := retainedHeapBeside(make([]byte, kept), func(input []byte) any { return slices.Clone(input) })
	c.Assert(math.Abs(size-kept) < kept/8, qt.IsTrue, qt.Commentf("%.0f bytes", size))
}

func TestMeasureRejectsUnknownRole(t *testing.T) {
	c := qt.New(t)
	_, err := Measure(context.Background(), "janitor", io.Discard)
	c.Assert(err, qt.ErrorMatches, "there is no role janitor.*")
	c.Assert(err.(*structs.Error).Kind, qt.Equals, structs.ErrorInvalid)
}

func TestMeasureStopsWhenContextIsDone(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Measure(ctx, "", io.Discard)
	c.Assert(err, qt.Equals, context.Canceled)
}

func TestSlopesAreValidJSON(t *testing.T) {
	c := qt.New(t)
	slopes, err := Measure(context.Background(), RoleEngine, io.Discard)
	c.Assert(err, qt.IsNil)
	c.Assert(slopes, qt.HasLen, len(engineProbes()))
	encoded, err := json.Marshal(slopes)
	c.Assert(err, qt.IsNil)
	var decoded []Slope
	c.Assert(json.Unmarshal(encoded, &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, slopes)
}
