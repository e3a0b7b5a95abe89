package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// Violation is a violated invariant.
type Violation struct {
	// Invariant is one of replicas, memory, answered, own_answer, not_run, at_most_once,
	// planned_stop, leaving, in_force, one_winner and resend.
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// CheckRecords checks the records of callers and engines against the invariants. The
// limit of a row must not have exceeded that in rows during the run. The result is empty
// but not nil if there is no violation.
func CheckRecords(rows []structs.Row, platform *Platform, outcomes []Outcome) []Violation {
	records := platform.Records()
	violations := []Violation{}
	violations = append(violations, checkMemory(platform, records)...)
	violations = append(violations, checkReplicas(rows, records)...)
	violations = append(violations, checkOutcomes(records, outcomes)...)
	return violations
}

// checkMemory checks that accelerator memory was not overcommitted, neither in use nor
// by an order that an engine had to refuse.
func checkMemory(platform *Platform, records map[structs.RunnerID]emulator.Records) []Violation {
	var violations []Violation
	for _, runner := range platform.Runners {
		record := records[runner.Machine.Runner]
		if record.PeakMemory > runner.MemoryBytes {
			violations = append(violations, Violation{"memory",
				fmt.Sprintf("%s held %d of %d bytes", runner.Machine.Runner, record.PeakMemory, runner.MemoryBytes)})
		}
		for _, attempted := range record.Violations {
			violations = append(violations, Violation{"memory",
				fmt.Sprintf("%s was ordered to break a limit: %s", runner.Machine.Runner, attempted.Detail)})
		}
	}
	return violations
}

// replicaEdge is a change of the number of replicas of a row.
type replicaEdge struct {
	at    time.Time
	delta int
}

// checkReplicas checks that the number of loaded replicas of a row over all engines
// never exceeded its limit.
func checkReplicas(rows []structs.Row, records map[structs.RunnerID]emulator.Records) []Violation {
	edges := map[structs.RowName][]replicaEdge{}
	for _, record := range records {
		for row, own := range replicaEdges(record.ReplicaChanges, isLoadedReplica) {
			edges[row] = append(edges[row], own...)
		}
	}
	limits := map[structs.RowName]int{}
	for _, row := range rows {
		limits[row.Name] = max(limits[row.Name], row.MaxReplicas)
	}
	var violations []Violation
	for row, list := range edges {
		if peak := peakOf(list); peak > limits[row] {
			violations = append(violations, Violation{"replicas",
				fmt.Sprintf("%d replicas of %s were loaded, its limit is %d", peak, row, limits[row])})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return violations
}

func isLoadedReplica(state structs.ReplicaState) bool { return state != structs.ReplicaAbsent }

// replicaEdges converts the changes of one engine to increments and decrements per row,
// for the replicas in a counted state.
func replicaEdges(changes []emulator.ReplicaChange, counts func(structs.ReplicaState) bool) map[structs.RowName][]replicaEdge {
	edges := map[structs.RowName][]replicaEdge{}
	present := map[structs.RowName]bool{}
	for _, change := range changes {
		now := counts(change.State)
		if now == present[change.Row] {
			continue
		}
		present[change.Row] = now
		delta := 1
		if !now {
			delta = -1
		}
		edges[change.Row] = append(edges[change.Row], replicaEdge{change.At, delta})
	}
	return edges
}

func peakOf(edges []replicaEdge) int {
	slices.SortStableFunc(edges, func(a, b replicaEdge) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta))
	})
	count, peak := 0, 0
	for _, edge := range edges {
		count += edge.delta
		peak = max(peak, count)
	}
	return peak
}

// checkOutcomes checks that each answer belongs to its request, that requests refused as
// not run did not run, and that requests with a key ran at most once.
func checkOutcomes(records map[structs.RunnerID]emulator.Records, outcomes []Outcome) []Violation {
	executions := map[uint64]int{}
	for _, record := range records {
		for _, execution := range record.Executions {
			if execution.ResumeFrom == 0 {
				executions[execution.PromptHash]++
			}
		}
	}
	var violations []Violation
	for _, tries := range groupByRequest(outcomes) {
		ran := executions[emulator.PromptHash(tries[0].Request.Row, tries[0].Request.Prompt)]
		violations = append(violations, checkAttempts(tries, ran)...)
	}
	return violations
}

// groupByRequest groups the outcomes by request, since a caller retries at another
// router after a failure. Groups are in order of their first attempts.
func groupByRequest(outcomes []Outcome) [][]Outcome {
	index := map[structs.RequestID]int{}
	var list [][]Outcome
	for _, outcome := range outcomes {
		at, known := index[outcome.Request.ID]
		if !known {
			at = len(list)
			index[outcome.Request.ID] = at
			list = append(list, nil)
		}
		list[at] = append(list[at], outcome)
	}
	return list
}

// checkAttempts checks all attempts of one request, which ran the given number of times.
func checkAttempts(tries []Outcome, ran int) []Violation {
	var violations []Violation
	request := tries[0].Request
	neverRan := true
	for _, outcome := range tries {
		if outcome.Wrong != "" {
			violations = append(violations, Violation{"own_answer", fmt.Sprintf("%s: %s", request.ID, outcome.Wrong)})
		}
		neverRan = neverRan && outcome.Refusal != nil && outcome.Refusal.Execution == structs.ExecutionNotRun
	}
	if neverRan && ran > 0 {
		violations = append(violations, Violation{"not_run", fmt.Sprintf("%s was said not to have run and ran %d times", request.ID, ran)})
	}
	if !request.Repeatable() && ran > 1 {
		violations = append(violations, Violation{"at_most_once", fmt.Sprintf("%s with key %s ran %d times", request.ID, request.IdempotencyKey, ran)})
	}
	return violations
}
