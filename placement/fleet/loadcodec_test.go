package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Names in any form must come back unchanged: a router finds the runner by the whole name.
func TestPackedLoadsKeepNamesAndRequests(t *testing.T) {
	for _, test := range []struct {
		name  string
		names []string
	}{
		{"none", nil},
		{"one", []string{"i-e45d3abb30#1772200565576"}},
		{"hexadecimal", []string{"i-e45d3abb30#1772200565576", "i-045d3abb31#1772200565575"}},
		{"odd number of digits", []string{"i-e45d3abb30#1772200565576", "i-e45d3abb3#1772200565576", "i-e15#7"}},
		{"one is a prefix of another", []string{"i-a", "i-ab", "i-"}},
		{"without a start time", []string{"a", "b#5", "c"}},
		{"upper case is no hexadecimal", []string{"i-AB#3", "i-ab#3"}},
		{"other characters", []string{"runner/1", "läufer-2#12", "#"}},
		{"start time that is no number", []string{"i-ab#x", "i-ab#-1", "i-ab#0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			loads := make([]Load, 0)
			for i, name := range test.names {
				loads = append(loads, Load{Instance: name, Requests: i * 100})
			}
			packed := PackLoads(loads)
			c.Assert(len(packed) > 0, qt.IsTrue)
			unpacked, err := UnpackLoads(packed)
			c.Assert(err, qt.IsNil)
			c.Assert(unpacked, qt.DeepEquals, loads)
		})
	}
}

// A share of 0 means unknown, so a known share must not become 0, nor wrap around at 256 hundredths.
func TestPackedReadingIsRoundedToHundredths(t *testing.T) {
	for _, test := range []struct{ reading, packed float64 }{
		{0, 0}, {-1, 0}, {math.NaN(), 0}, {0.001, 0.01}, {1.0 / 64, 0.02}, {0.5, 0.5}, {0.994, 0.99}, {1, 1},
		{1.5, 1.5}, {2.55, 2.55}, {2.56, 2.55}, {1000, 2.55}, {math.Inf(1), 2.55},
	} {
		t.Run(fmt.Sprint(test.reading), func(t *testing.T) {
			c := qt.New(t)
			unpacked, err := UnpackLoads(PackLoads([]Load{{Instance: "a", Reading: test.reading}}))
			c.Assert(err, qt.IsNil)
			c.Assert(math.Abs(unpacked[0].Reading-test.packed) < 1e-9, qt.IsTrue, qt.Commentf("%v", unpacked[0].Reading))
		})
	}
}

// A router must not panic or allocate without bound for a damaged message.
func TestMalformedLoadsAreRejected(t *testing.T) {
	c := qt.New(t)
	packed := PackLoads([]Load{{Instance: "i-ab#1772200565576", Requests: 300, Reading: 0.5}, {Instance: "i-cd#1772200565577"}})
	for length := range packed {
		_, err := UnpackLoads(packed[:length])
		c.Assert(err, qt.ErrorMatches, ".*malformed", qt.Commentf("%d bytes", length))
	}
	_, err := UnpackLoads(append(packed, 0))
	c.Assert(err, qt.ErrorMatches, ".*malformed")
	random := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		damaged := append([]byte(nil), packed...)
		for range 1 + random.IntN(3) {
			damaged[random.IntN(len(damaged))] = byte(random.Uint32())
		}
		_, _ = UnpackLoads(damaged)
	}
}

func BenchmarkPackLoads(b *testing.B) {
	loads := make([]Load, 64)
	for i := range loads {
		loads[i] = Load{Instance: fmt.Sprintf("i-%010x#%d", uint64(i)*0x9e3779b97f, 1772200565576+i*977), Requests: i, Reading: 0.5}
	}
	b.ReportAllocs()
	for b.Loop() {
		PackLoads(loads)
	}
}
