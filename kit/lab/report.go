package lab

import (
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// Report is what a fleet run measured and found.
type Report struct {
	Site            string  `json:"site"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	Daemons         int     `json:"daemons"`
	Engines         int     `json:"engines"`
	// EditSeconds is the time from the edit of the whole table to its being in
	// force in every zone.
	EditSeconds float64 `json:"edit_seconds"`
	Totals
	// PlannedStops counts the planned stops of daemons; none may cut a request.
	PlannedStops int `json:"planned_stops"`
	// Notices counts the times that a machine was listed as leaving; after a few
	// seconds such a machine may get no new work.
	Notices int `json:"leaving_notices"`
	// Edits counts the edits accepted under load; EditInForce is how long each took
	// from there to being in force in a zone.
	Edits                int          `json:"edits"`
	EditInForce          Percentiles  `json:"edit_in_force_seconds"`
	IdleAcceleratorHours float64      `json:"idle_accelerator_hours"`
	Faults               []FaultEvent `json:"faults"`
	Violations           []Violation  `json:"violations"`
	// Command repeats the run.
	Command  string   `json:"command,omitempty"`
	Timeline []Second `json:"timeline"`
}

// Totals sums up the calls of a run.
type Totals struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Lost counts requests that got no terminal answer in time.
	Lost int `json:"lost"`
	// Cut counts requests whose router was killed or frozen and whose caller had
	// no time left to ask another one.
	Cut int `json:"cut_by_dead_router"`
	// LiveInTime is the share of live requests that were answered within their deadline.
	LiveInTime float64 `json:"live_in_time"`
	// RefusedBy counts refusals by kind and execution.
	RefusedBy map[string]int `json:"refused_by"`
	// RefusedFor counts refusals by their message, with # for every number.
	RefusedFor map[string]int `json:"refused_for"`
	// ColdStart is from the planned time to the first token, of requests that
	// found no ready replica of their row in the whole site; FirstToken is of all others.
	ColdStart  Percentiles `json:"cold_start_seconds"`
	FirstToken Percentiles `json:"first_token_seconds"`
	TokenGap   Percentiles `json:"longest_token_gap_seconds"`
}

// Percentiles sums up a distribution, in seconds.
type Percentiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// latencies is a histogram of durations of 0.1 ms to 1 hour.
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
	// Durations are bounded by the deadlines, far below the histogram's top.
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

// sum fills in the counts and distributions.
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
		r.RefusedFor[numbers.ReplaceAllString(outcome.Refusal.Error.Message, "#")]++
	}
}

// numbers are what differs between messages of the same sense: names of rows, times.
var numbers = regexp.MustCompile(`[0-9]+`)

// refusalLabel names the kind of a refusal and whether the request ran.
func refusalLabel(outcome Outcome) string {
	return string(outcome.Refusal.Error.Kind) + "/" + string(outcome.Refusal.Execution)
}

// coldStarts knows when a row had a ready replica anywhere in the site. Its zero
// value, for a site whose engines keep no records, takes no call for a cold start.
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

// isCold reports whether no replica of the request's row was ready when it was due.
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
