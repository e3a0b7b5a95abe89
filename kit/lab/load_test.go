package lab

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/kit/experiment/workload"
	"github.com/lotusferry/lotusferry/structs"
)

func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	sentLate := answered(func(outcome *Outcome) { outcome.SentAt, outcome.FirstTokenAt = at(4), at(5) })
	report := newLoadReport(at(0), []Outcome{sentLate})
	qt.Assert(t, int(report.FirstToken.Max+0.5), qt.Equals, 5)
	qt.Assert(t, int(report.SendLag.Max+0.5), qt.Equals, 4)
	qt.Assert(t, report.ColdStart.Count, qt.Equals, 0)
	qt.Assert(t, int(report.Timeline[0].FirstToken.Max+0.5), qt.Equals, 5)
}

func TestLoadReportsLostCallsAndWrongAnswers(t *testing.T) {
	lost := answered(func(outcome *Outcome) { outcome.Request.ID, outcome.Finish, outcome.Broken = "l", "", true })
	wrong := answered(func(outcome *Outcome) { outcome.Wrong = "text" })
	got := newLoadReport(at(0), []Outcome{lost, wrong})
	qt.Assert(t, invariants(got.Violations), qt.DeepEquals, []string{"own_answer", "answered"})
	qt.Assert(t, got.Lost, qt.Equals, 1)
}

func TestLoadIsOpenLoop(t *testing.T) {
	const calls = 5
	arrived := make(chan struct{}, calls)
	release := make(chan struct{})
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		http.Error(w, "{}", http.StatusServiceUnavailable)
	}))
	defer router.Close()
	plan, err := PlanSite(DemoSite(), 500, 20*time.Millisecond, 1)
	qt.Assert(t, err, qt.IsNil)
	plan.arrivals = plan.arrivals[:calls]
	go func() {
		for range calls {
			<-arrived
		}
		close(release)
	}()
	report, err := RunLoad(context.Background(), LoadOptions{Targets: []string{router.URL}, Plan: plan})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Requests, qt.Equals, calls)
	qt.Assert(t, report.Answered, qt.Equals, 0)
}

func TestRemoteTargetsNeedPermission(t *testing.T) {
	for _, test := range []struct {
		target  string
		allowed bool
		kind    structs.ErrorKind
	}{
		{"http://127.0.0.1:7101", false, ""},
		{"http://[::1]:7101/", false, ""},
		{"http://192.0.2.1:7101", false, structs.ErrorDenied},
		{"http://localhost.example:7101", false, structs.ErrorDenied},
		{"https://192.0.2.1:7101", true, ""},
		{"127.0.0.1:7101", true, structs.ErrorInvalid},
	} {
		_, err := routersOf([]string{test.target}, test.allowed)
		if test.kind == "" {
			qt.Check(t, err, qt.IsNil, qt.Commentf(test.target))
			continue
		}
		var typed *structs.Error
		qt.Check(t, err, qt.ErrorAs, &typed, qt.Commentf(test.target))
		qt.Check(t, typed.Kind, qt.Equals, test.kind, qt.Commentf(test.target))
	}
}

func TestPlanTraceSelectsPartAndSpeed(t *testing.T) {
	recorded := func(seconds int) workload.Arrival {
		return workload.Arrival{At: time.Duration(seconds) * time.Second, Zone: "south", Router: 1, Row: "explain-7b", OutputTokens: 3, PromptTokens: 2, Deadline: time.Second}
	}
	shape := workload.Shape{Zones: []structs.ZoneID{"north", "south"}, RoutersPerZone: 3}
	trace := []workload.Arrival{recorded(5), recorded(12), recorded(18), recorded(40)}
	plan, err := PlanTrace(trace, shape, 6, Replay{From: 10 * time.Second, Duration: 5 * time.Second, Speed: 2, Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plan.Calls(), qt.Equals, 2)
	qt.Assert(t, plan.arrivals[0].after, qt.Equals, time.Second)
	qt.Assert(t, plan.arrivals[1].after, qt.Equals, 4*time.Second)
	qt.Assert(t, plan.arrivals[0].router, qt.Equals, 5)
	qt.Assert(t, plan.arrivals[0].request.MaxTokens, qt.Equals, 3)
	trace[0].Deadline = time.Hour
	plan, err = PlanTrace(trace[:1], shape, 1, Replay{Speed: 1})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plan.arrivals[0].deadline, qt.Equals, longestWait)
	qt.Assert(t, plan.arrivals[0].router, qt.Equals, 0)
	_, err = PlanTrace(trace, shape, 6, Replay{From: time.Hour, Speed: 1})
	qt.Assert(t, err, qt.ErrorMatches, ".*0 calls.*")
}

func TestTimelineHasFaultsCallsAndMemory(t *testing.T) {
	second := answered(func(outcome *Outcome) {
		outcome.Request.ID, outcome.PlannedAt, outcome.FirstTokenAt = "q2", at(1), at(3)
	})
	refused := refusedCall(structs.ExecutionNotRun)
	refused.Request.ID = "q3"
	timeline := newTimeline(at(0), lastOutcomes([]Outcome{answered(nil), second, refused}))
	addLoaded(timeline, at(0), map[structs.RunnerID]emulator.Records{"e": {ReplicaChanges: []emulator.ReplicaChange{
		{At: at(0), Row: "r", State: structs.ReplicaLoading, MemoryUsed: 8 * gibibyte},
		{At: at(1), Row: "r", State: structs.ReplicaAbsent},
	}}})
	qt.Assert(t, timeline, qt.HasLen, 2)
	qt.Check(t, timeline[0].Due, qt.Equals, 2)
	qt.Check(t, timeline[0].Refused, qt.DeepEquals, map[string]int{"overloaded/not_run": 1})
	qt.Check(t, timeline[0].Replicas, qt.Equals, 1)
	qt.Check(t, timeline[0].LoadedBytes, qt.Equals, 8*gibibyte)
	qt.Check(t, timeline[1].Replicas, qt.Equals, 0)
	qt.Check(t, timeline[1].LoadedBytes, qt.Equals, int64(0))
	var page bytes.Buffer
	run := Report{
		Command: "lotusferrylab fleet --seed 4", Timeline: timeline,
		Faults:     []FaultEvent{{AtSeconds: 0.5, ForSeconds: 1, Kind: "engine-crash", Target: "e"}},
		Violations: []Violation{{"memory", "<e>"}},
	}
	qt.Assert(t, run.WriteHTML(&page), qt.IsNil)
	for _, want := range []string{"lotusferrylab fleet --seed 4", "engine-crash", "memory: &lt;e&gt;", "refused: overloaded/not_run"} {
		qt.Check(t, strings.Contains(page.String(), want), qt.IsTrue, qt.Commentf(want))
	}
	qt.Check(t, strings.Count(page.String(), "<svg"), qt.Equals, 4)
}

func TestCompareDetectsRegressions(t *testing.T) {
	base := Comparable{Totals: Totals{Requests: 100, Answered: 90, LiveInTime: 0.9, FirstToken: Percentiles{Count: 90, P50: 0.1, P95: 0.2, P99: 0.3}}}
	for _, test := range []struct {
		about  string
		change func(*Comparable)
		worse  bool
	}{
		{"equal", func(*Comparable) {}, false},
		{"better", func(b *Comparable) { b.FirstToken.P99, b.Answered = 0.1, 99 }, false},
		{"within the tolerance", func(b *Comparable) { b.FirstToken.P99 = 0.32 }, false},
		{"slower", func(b *Comparable) { b.FirstToken.P99 = 0.34 }, true},
		{"below the floor", func(b *Comparable) { b.FirstToken.P50 = 0.104 }, false},
		{"fewer answers", func(b *Comparable) { b.Answered = 80 }, true},
		{"late live calls", func(b *Comparable) { b.LiveInTime = 0.8 }, true},
		{"one lost request", func(b *Comparable) { b.Lost = 1 }, true},
		{"a violation", func(b *Comparable) { b.Violations = []Violation{{"memory", "e"}} }, true},
	} {
		b := base
		test.change(&b)
		qt.Check(t, Verdict(b, Compare(base, b, 0.1)) != "", qt.Equals, test.worse, qt.Commentf(test.about))
	}
	violating := base
	violating.Violations = []Violation{{"memory", "e"}}
	qt.Check(t, Verdict(violating, Compare(violating, violating, 0.1)), qt.Equals, "B has 1 violations")
}
