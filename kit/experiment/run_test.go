package experiment

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/placement/scheduler"
	"github.com/lotusferry/lotusferry/structs"
)

// mondayMorningArrivals returns the requests of a site's first Monday between 9 and 10,
// shifted to start at time 0.
func mondayMorningArrivals(t testing.TB, site lab.Site) []workload.Arrival {
	all, err := workload.Generate(site.Name, ShapeOf(site), 1, 1)
	qt.Assert(t, err, qt.IsNil)
	var arrivals []workload.Arrival
	for _, arrival := range all {
		arrival.At -= 9 * time.Hour
		if arrival.At >= 0 && arrival.At < time.Hour {
			arrivals = append(arrivals, arrival)
		}
	}
	return arrivals
}

func siteOf(t testing.TB, name string) lab.Site {
	site, err := lab.SiteByName(name)
	qt.Assert(t, err, qt.IsNil)
	return site
}

// runMondayMorning runs the requests of mondayMorningArrivals and one further hour
// under the policy.
func runMondayMorning(t testing.TB, name string, policy Policy, faults bool) Run {
	site := siteOf(t, name)
	w := newSimulation(site, mondayMorningArrivals(t, site), 1, faults)
	qt.Assert(t, w.setPlanners(policy), qt.IsNil)
	w.run(2 * time.Hour)
	return w.result(2 * time.Hour)
}

func TestPoliciesKeepInvariants(t *testing.T) {
	for _, site := range []string{"padano", "meknes"} {
		for _, policy := range Policies() {
			for _, faults := range []bool{false, true} {
				run := runMondayMorning(t, site, policy, faults)
				comment := qt.Commentf("%s %s, faults %v", site, policy, faults)
				qt.Check(t, run.Violations, qt.HasLen, 0, comment)
				qt.Check(t, run.Requests, qt.Equals, len(mondayMorningArrivals(t, siteOf(t, site))), comment)
				qt.Check(t, run.Requests > 100 && run.LoadsPerHour > 0, qt.IsTrue, comment)
			}
		}
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	first := runMondayMorning(t, "padano", PolicyLotusferry, true)
	second := runMondayMorning(t, "padano", PolicyLotusferry, true)
	first.PlanMicrosecond, second.PlanMicrosecond = 0, 0 // wall-clock time
	qt.Assert(t, second, qt.DeepEquals, first)
}

func TestPoliciesDifferInUnloadsIdleTimeAndColdStarts(t *testing.T) {
	runs := map[Policy]Run{}
	for _, policy := range Policies() {
		runs[policy] = runMondayMorning(t, "padano", policy, false)
	}
	qt.Check(t, runs[PolicyLRU].Unloads[scheduler.ReasonIdle], qt.Equals, 0)
	qt.Check(t, runs[PolicyKeepAlive].Unloads[scheduler.ReasonIdle] > 0, qt.IsTrue)
	qt.Check(t, runs[PolicyKeepAlive].IdleHours < runs[PolicyLRU].IdleHours, qt.IsTrue)
	qt.Check(t, runs[PolicyOracle].ColdShare < 0.2*runs[PolicyLRU].ColdShare, qt.IsTrue)
	lowCost := runMondayMorning(t, "padano", "lotusferry@1", false)
	qt.Check(t, lowCost.IdleHours < runs[PolicyLotusferry].IdleHours, qt.IsTrue)
	qt.Check(t, lowCost.ColdShare > runs[PolicyLotusferry].ColdShare, qt.IsTrue)
	qt.Check(t, runs[PolicyLotusferry].IdleHours < runs[PolicyLRU].IdleHours, qt.IsTrue)
}

func TestBurstCausesOneLoadOnDemand(t *testing.T) {
	site := siteOf(t, "padano")
	var burst []workload.Arrival
	for i := range 30 {
		burst = append(burst, workload.Arrival{
			At: time.Minute + time.Duration(i)*50*time.Millisecond, Zone: site.Zones[0].ID, Router: i % 3, Row: "answers-00",
			Class: workload.ClassEditor, Priority: structs.PriorityLive, PromptTokens: 100, OutputTokens: 10, Deadline: 12 * time.Second,
		})
	}
	w := newSimulation(site, burst, 1, false)
	qt.Assert(t, w.setPlanners(PolicyLotusferry), qt.IsNil)
	w.run(8 * time.Minute)
	run := w.result(8 * time.Minute)
	// One load on demand for the burst, then one prewarming load for each adapter of
	// the row, a minute apart.
	const adapters = 6
	qt.Assert(t, run.LoadReasons, qt.DeepEquals, map[scheduler.Reason]int{scheduler.ReasonDemand: 1, scheduler.ReasonPrewarm: adapters})
	qt.Assert(t, run.Loads, qt.DeepEquals, map[structs.CacheTier]int{structs.TierStore: 1 + adapters})
	qt.Assert(t, run.LiveInTime, qt.Equals, 1.0)
}

func TestCheckerReportsViolations(t *testing.T) {
	row := structs.Row{Name: "answers-00", Role: "answers", MemoryBytes: gibibyte, MaxReplicas: 1}
	for _, test := range []struct {
		invariant string
		violate   func(w *simulation)
	}{
		{"memory", func(w *simulation) {
			large := row
			large.MemoryBytes = w.zones[0].engines[0].info.MemoryBytes + 1
			w.zones[0].engines[0].load(large, func() {})
		}},
		{"replicas", func(w *simulation) {
			w.zones[0].engines[0].load(row, func() {})
			w.zones[1].engines[0].load(row, func() {})
		}},
		{"engine", func(w *simulation) {
			wrong := row
			wrong.Role = "search"
			w.zones[0].engines[0].load(wrong, func() {})
		}},
		{"store", func(w *simulation) {
			for i := range w.site.StoreConcurrent + 1 {
				w.store.fetch("r", structs.Row{Name: structs.RowName(rune('a' + i)), MemoryBytes: gibibyte}, func() {})
			}
		}},
		{"requests", func(w *simulation) { w.checker.checkRequestCount(2, 1) }},
		{"requests", func(w *simulation) {
			r := &request{}
			w.finish(r, outcomeAnswered)
			w.finish(r, outcomeAnswered)
		}},
	} {
		w := newSimulation(siteOf(t, "padano"), nil, 1, false)
		test.violate(w)
		qt.Assert(t, w.checker.violations, qt.HasLen, 1, qt.Commentf("%s", test.invariant))
		qt.Assert(t, w.checker.violations[0].Invariant, qt.Equals, test.invariant)
	}
}

// Guards against a checker that misses excess store reads in a full run.
func TestRunReportsStoreLimitViolation(t *testing.T) {
	site := siteOf(t, "padano")
	var arrivals []workload.Arrival
	for i, row := range site.Rows {
		if row.Role == "answers" && !row.NeedsBase() {
			arrivals = append(arrivals, workload.Arrival{
				At: time.Minute, Zone: site.Zones[i%3].ID, Row: row.Name, Class: workload.ClassEditor,
				Priority: structs.PriorityLive, PromptTokens: 1, OutputTokens: 1, Deadline: time.Minute,
			})
		}
	}
	for _, extra := range []int{0, 8} {
		w := newSimulation(site, arrivals, 1, false)
		for _, z := range w.zones {
			z.storeBudget += extra
		}
		qt.Assert(t, w.setPlanners(PolicyLotusferry), qt.IsNil)
		w.run(10 * time.Minute)
		qt.Assert(t, len(w.checker.violations) > 0, qt.Equals, extra > 0, qt.Commentf("%v", w.checker.violations))
	}
}

func TestQuantiles(t *testing.T) {
	var values []float64
	for i := range 1000 {
		values = append(values, float64(999-i))
	}
	got := quantilesOf(values)
	qt.Assert(t, got, qt.Equals, Quantiles{Count: 1000, Mean: 499.5, P50: 500, P99: 990, P999: 999, Max: 999})
	qt.Assert(t, quantilesOf(nil), qt.Equals, Quantiles{})
}

func TestExecuteRejectsInvalidOptions(t *testing.T) {
	good := Options{Sites: []string{"padano"}, Days: 1, Seeds: []uint64{1}, Policies: []Policy{PolicyLRU}, Faults: []bool{false}}
	for name, change := range map[string]func(*Options){
		"no days":                       func(o *Options) { o.Days = 0 },
		"no seed":                       func(o *Options) { o.Seeds = nil },
		"unknown site":                  func(o *Options) { o.Sites = []string{"x"} },
		"unknown policy":                func(o *Options) { o.Policies = []Policy{"x"} },
		"site without a workload":       func(o *Options) { o.Sites = []string{"demo"} },
		"zero cold start cost":          func(o *Options) { o.Policies = []Policy{"lotusferry@0"} },
		"cold start cost of a baseline": func(o *Options) { o.Policies = []Policy{"lru@3"} },
		"trace with two sites":          func(o *Options) { o.Trace, o.Sites = []workload.Arrival{{}}, []string{"padano", "meknes"} },
	} {
		options := good
		change(&options)
		_, err := Execute(context.Background(), options)
		qt.Check(t, structs.KindOf(err), qt.Equals, structs.ErrorInvalid, qt.Commentf("%s", name))
	}
}

func BenchmarkDay(b *testing.B) {
	for _, policy := range Policies() {
		b.Run(string(policy), func(b *testing.B) {
			for b.Loop() {
				options := Options{Sites: []string{"padano"}, Days: 1, Seeds: []uint64{1}, Policies: []Policy{policy}, Faults: []bool{false}}
				if _, err := Execute(context.Background(), options); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
