package lab

import (
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// Report is the result of a fleet run.
type Report struct {
	Site            string  `json:"site"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	Daemons         int     `json:"daemons"`
	Engines         int     `json:"engines"`
	// EditSeconds is the time until the initial edit of the whole table is in force in
	// every zone.
	EditSeconds float64 `json:"edit_seconds"`
	Totals
	// PlannedStops is the number of planned stops of daemons, which must not interrupt
	// requests.
	PlannedStops int `json:"planned_stops"`
	// Notices is the number of times that a machine was listed as leaving.
	Notices int `json:"leaving_notices"`
	// Edits is the number of edits accepted under load; EditInForce is the time from the
	// acceptance until an edit is in force in a zone.
	Edits                int          `json:"edits"`
	EditInForce          Percentiles  `json:"edit_in_force_seconds"`
	IdleAcceleratorHours float64      `json:"idle_accelerator_hours"`
	Faults               []FaultEvent `json:"faults"`
	Violations           []Violation  `json:"violations"`
	// Command is the command that repeats the run.
	Command  string   `json:"command,omitempty"`
	Timeline []Second `json:"timeline"`
}

// Totals summarizes the calls of a run.
type Totals struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Lost is the number of requests without a terminal answer in time.
	Lost int `json:"lost"`
	// Cut is the number of requests whose router was killed or suspended and that could
	// not be retried before their deadline.
	Cut int `json:"cut_by_dead_router"`
	// LiveInTime is the fraction of live requests answered within their deadline.
	LiveInTime float64 `json:"live_in_time"`
	// RefusedBy is the number of refusals by kind and execution.
	RefusedBy map[string]int `json:"refused_by"`
	// RefusedFor is the number of refusals by message, with # for every number.
	RefusedFor map[string]int `json:"refused_for"`
	// ColdStart is the time to first token of requests whose row had no ready replica in
	// the site when they were due; FirstToken is that of all others. Both count from the
	// due time.
	ColdStart  Percentiles `json:"cold_start_seconds"`
	FirstToken Percentiles `json:"first_token_seconds"`
	TokenGap   Percentiles `json:"longest_token_gap_seconds"`
}

// Percentiles summarizes a distribution, in seconds.
type Percentiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// latencies is a histogram of durations from 0.1 ms to 1 hour.
type latencies struct {
	histogram *hdrhistogram.Histogram
}

const (
	histogramUnit   = 100 * time.Microsecond
	histogramDigits = 3
)

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, int64(time.Hour/histogramUnit), histogramDigits)}
}

func (l latencies) add(duration time.Duration) {
	// Durations are bounded by the deadlines, far below the histogram's maximum.
	_ = l.histogram.RecordValue(int64(duration / histogramUnit))
}

func (l latencies) percentiles() Percentiles {
	at := func(quantile float64) float64 {
		return (time.Duration(l.histogram.ValueAtQuantile(quantile)) * histogramUnit).Seconds()
	}
	return Percentiles{
		Count: int(l.histogram.TotalCount()),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		Max:   (time.Duration(l.histogram.Max()) * histogramUnit).Seconds(),
	}
}

// sum computes the counts and distributions.
func (r *Totals) sum(last map[structs.RequestID]Outcome, cold coldStarts) {
	coldStart, firstToken, gaps := newLatencies(), newLatencies(), newLatencies()
	live, liveInTime := 0, 0
	r.RefusedBy, r.RefusedFor = map[string]int{}, map[string]int{}
	for _, outcome := range last {
		r.Requests++
		r.count(outcome)
		if outcome.Request.Priority == structs.PriorityLive {
			live++
			if outcome.Answered() && !outcome.EndedAt.After(outcome.Request.DeadlineAt) {
				liveInTime++
			}
		}
		if outcome.FirstTokenAt.IsZero() {
			continue
		}
		wait := outcome.FirstTokenAt.Sub(outcome.PlannedAt)
		if cold.isCold(outcome) {
			coldStart.add(wait)
		} else {
			firstToken.add(wait)
		}
		gaps.add(outcome.LongestGap)
	}
	if live > 0 {
		r.LiveInTime = float64(liveInTime) / float64(live)
	}
	r.ColdStart = coldStart.percentiles()
	r.FirstToken = firstToken.percentiles()
	r.TokenGap = gaps.percentiles()
}

func (r *Totals) count(outcome Outcome) {
	switch {
	case outcome.Answered():
		r.Answered++
	case outcome.RouterDied:
		r.Cut++
	case isLost(outcome):
		r.Lost++
	default:
		r.Refused++
		r.RefusedBy[refusalLabel(outcome)]++
		r.RefusedFor[numberPattern.ReplaceAllString(outcome.Refusal.Error.Message, "#")]++
	}
}

// numberPattern matches the numberPattern in which messages of the same kind differ.
var numberPattern = regexp.MustCompile(`[0-9]+`)

// refusalLabel returns the kind and the execution of a refusal.
func refusalLabel(outcome Outcome) string {
	return string(outcome.Refusal.Error.Kind) + "/" + string(outcome.Refusal.Execution)
}

// coldStarts holds when a row had a ready replica in the site. Its zero value, for
// engines without records, classifies no call as a cold start.
type coldStarts struct {
	ready map[structs.RowName][]replicaEdge
}

func newColdStarts(records map[structs.RunnerID]emulator.Records) coldStarts {
	ready := map[structs.RowName][]replicaEdge{}
	for _, record := range records {
		for row, own := range replicaEdges(record.ReplicaChanges, isReadyReplica) {
			ready[row] = append(ready[row], own...)
		}
	}
	for _, edges := range ready {
		slices.SortFunc(edges, func(a, b replicaEdge) int { return a.at.Compare(b.at) })
	}
	return coldStarts{ready: ready}
}

func isReadyReplica(state structs.ReplicaState) bool { return state == structs.ReplicaReady }

// isCold reports whether the request's row had no ready replica when the call was due.
func (c coldStarts) isCold(outcome Outcome) bool {
	if c.ready == nil {
		return false
	}
	count := 0
	for _, edge := range c.ready[outcome.Request.Row] {
		if edge.at.After(outcome.PlannedAt) {
			break
		}
		count += edge.delta
	}
	return count == 0
}
