package workload

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

// testShape returns a shape with three zones and forty rows of each role.
func testShape() Shape {
	shape := Shape{Zones: []structs.ZoneID{"a", "b", "c"}, RoutersPerZone: 3}
	for _, role := range []structs.RunnerRole{"answers", "search", "summaries", "records"} {
		for i := range 40 {
			name := structs.RowName(string(role) + "-" + string(rune('A'+i)))
			shape.Rows = append(shape.Rows, structs.Row{Name: name, Role: role})
		}
	}
	return shape
}

func generate(t *testing.T, site string, days int, seed uint64) []Arrival {
	arrivals, err := Generate(site, testShape(), days, seed)
	qt.Assert(t, err, qt.IsNil)
	return arrivals
}

func TestGenerateIsDeterministicPerSeed(t *testing.T) {
	for _, site := range []string{"padano", "meknes"} {
		first := generate(t, site, 1, 7)
		qt.Assert(t, generate(t, site, 1, 7), qt.DeepEquals, first)
		qt.Assert(t, generate(t, site, 1, 8)[0], qt.Not(qt.DeepEquals), first[0])
	}
}

// countOf returns the number of arrivals of the class in the hours [from, to) of
// a day.
func countOf(arrivals []Arrival, class Class, day, from, to int) int {
	count := 0
	for _, a := range arrivals {
		hour := int(a.At / time.Hour)
		if a.Class == class && hour >= day*24+from && hour < day*24+to {
			count++
		}
	}
	return count
}

func TestGenerateFollowsDailyAndWeeklyPattern(t *testing.T) {
	padano := generate(t, "padano", 7, 1)
	qt.Check(t, countOf(padano, ClassEditor, 0, 9, 18) > 20*countOf(padano, ClassEditor, 0, 0, 6), qt.IsTrue)
	qt.Check(t, countOf(padano, ClassEditor, 1, 0, 24) > 4*countOf(padano, ClassEditor, 6, 0, 24), qt.IsTrue)
	qt.Check(t, countOf(padano, ClassReview, 1, 0, 7), qt.Equals, countOf(padano, ClassReview, 1, 0, 24))
	meknes := generate(t, "meknes", 7, 1)
	qt.Check(t, countOf(meknes, ClassGate, 0, 5, 21) > 0, qt.IsTrue)
	qt.Check(t, countOf(meknes, ClassGate, 0, 0, 3), qt.Equals, 0)
	qt.Check(t, countOf(meknes, ClassPicking, 2, 16, 21) > countOf(meknes, ClassPicking, 2, 6, 11), qt.IsTrue)
}

func TestRowPopularityIsLongTailed(t *testing.T) {
	calls := map[structs.RowName]int{}
	for _, a := range generate(t, "padano", 7, 1) {
		if a.Class == ClassEditor {
			calls[a.Row]++
		}
	}
	total, most, few := 0, 0, 0
	for _, count := range calls {
		total += count
		most = max(most, count)
	}
	for _, count := range calls {
		if count*50 < total {
			few++
		}
	}
	qt.Check(t, most*10 > total, qt.IsTrue, qt.Commentf("the most called row has %d of %d", most, total))
	qt.Check(t, few >= len(calls)/2, qt.IsTrue, qt.Commentf("%d of %d rows have under 2 in 100", few, len(calls)))
}

func TestBurstsReachRoutersOfAllZones(t *testing.T) {
	g := &generator{shape: testShape(), random: newRand(3)}
	g.burst(time.Hour, 60, 4*time.Second, "answers-A", ClassEditor)
	routers := map[structs.ZoneID]map[int]bool{"a": {}, "b": {}, "c": {}}
	for _, a := range g.finish(1) {
		routers[a.Zone][a.Router] = true
		qt.Assert(t, a.At >= time.Hour && a.At < time.Hour+4*time.Second, qt.IsTrue)
	}
	for zone, seen := range routers {
		qt.Check(t, seen, qt.HasLen, 3, qt.Commentf("zone %s", zone))
	}
}

func TestTraceRoundTrip(t *testing.T) {
	arrivals := generate(t, "meknes", 1, 1)
	var file bytes.Buffer
	qt.Assert(t, WriteTrace(&file, arrivals), qt.IsNil)
	read, err := ReadTrace(&file, testShape())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.DeepEquals, arrivals)
}

func TestReadTraceReportsLineOfInvalidRecord(t *testing.T) {
	header := strings.Join(traceHeader, ",") + "\n"
	good := "1.5,a,0,answers-A,editor,2,10,20,12\n"
	for _, test := range []struct{ name, text, want string }{
		{"no header", good, "line 1 .*header.*"},
		{"too few columns", header + "1,a\n", "line 2 .*"},
		{"bad time", header + good + "x,a,0,answers-A,editor,2,10,20,12\n", `line 3 .*at_seconds is "x".*`},
		{"negative time", header + "-1,a,0,answers-A,editor,2,10,20,12\n", `line 2 .*at_seconds is "-1".*`},
		{"not a number", header + "NaN,a,0,answers-A,editor,2,10,20,12\n", `line 2 .*at_seconds is "NaN".*`},
		{"no such router", header + "1,a,3,answers-A,editor,2,10,20,12\n", `line 2 .*router is "3".*`},
		{"no such zone", header + "1,z,0,answers-A,editor,2,10,20,12\n", `line 2 .*no zone "z".*`},
		{"no such row", header + "1,a,0,other,editor,2,10,20,12\n", `line 2 .*no row "other".*`},
		{"no such priority", header + "1,a,0,answers-A,editor,9,10,20,12\n", `line 2 .*priority is "9".*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadTrace(strings.NewReader(test.text), testShape())
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
		})
	}
}
