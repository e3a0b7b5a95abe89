package lab

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

var began = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

// answered returns the outcome of a completely answered call; change may modify it.
func answered(change func(*Outcome)) Outcome {
	outcome := Outcome{
		Request: structs.Request{ID: "q", Row: "r", Prompt: "p", MaxTokens: 5, DeadlineAt: at(10)},
		Router:  "d", PlannedAt: at(0), SentAt: at(0), FirstTokenAt: at(1), EndedAt: at(2), Tokens: 5, Finish: structs.FinishLength,
	}
	if change != nil {
		change(&outcome)
	}
	return outcome
}

// refusedCall returns the outcome of a call refused with the given execution.
func refusedCall(execution structs.Execution) Outcome {
	return answered(func(outcome *Outcome) {
		outcome.Finish = ""
		outcome.Refusal = &structs.Rejection{Error: structs.Error{Kind: structs.ErrorOverloaded}, Execution: execution}
	})
}

func invariants(violations []Violation) []string {
	var names []string
	for _, violation := range violations {
		names = append(names, violation.Invariant)
	}
	return names
}

func TestOutcomesAreComparedWithExecutions(t *testing.T) {
	keyed := func(outcome *Outcome) { outcome.Request.IdempotencyKey = "k" }
	ran := func(times int) map[structs.RunnerID]emulator.Records {
		var records emulator.Records
		for range times {
			records.Executions = append(records.Executions, &emulator.Execution{PromptHash: emulator.PromptHash("r", "p")})
		}
		records.Executions = append(records.Executions, &emulator.Execution{PromptHash: emulator.PromptHash("r", "p"), ResumeFrom: 1})
		return map[structs.RunnerID]emulator.Records{"e": records}
	}
	for _, test := range []struct {
		about    string
		ran      int
		outcomes []Outcome
		want     []string
	}{
		{"answered once", 1, []Outcome{answered(keyed)}, nil},
		{"a repeatable request may run twice", 2, []Outcome{answered(nil)}, nil},
		{"a request with a key ran twice", 2, []Outcome{answered(keyed)}, []string{"at_most_once"}},
		{"refused as not run and did not run", 0, []Outcome{refusedCall(structs.ExecutionNotRun)}, nil},
		{"refused as not run and ran", 1, []Outcome{refusedCall(structs.ExecutionNotRun)}, []string{"not_run"}},
		{"refused as not run, then answered elsewhere", 1, []Outcome{refusedCall(structs.ExecutionNotRun), answered(nil)}, nil},
		{"answer to another request", 1, []Outcome{answered(func(outcome *Outcome) { outcome.Wrong = "text" })}, []string{"own_answer"}},
	} {
		qt.Check(t, invariants(checkOutcomes(ran(test.ran), test.outcomes)), qt.DeepEquals, test.want, qt.Commentf(test.about))
	}
}

func TestReplicasAreCountedOverAllEngines(t *testing.T) {
	load := func(seconds int, state structs.ReplicaState) emulator.ReplicaChange {
		return emulator.ReplicaChange{At: at(seconds), Row: "r", State: state}
	}
	records := map[structs.RunnerID]emulator.Records{
		"e1": {ReplicaChanges: []emulator.ReplicaChange{load(0, structs.ReplicaReady), load(5, structs.ReplicaAbsent)}},
		"e2": {ReplicaChanges: []emulator.ReplicaChange{load(5, structs.ReplicaReady)}},
	}
	rows := []structs.Row{{Name: "r", MaxReplicas: 1}}
	qt.Assert(t, checkReplicas(rows, records), qt.HasLen, 0)
	records["e2"] = emulator.Records{ReplicaChanges: []emulator.ReplicaChange{load(4, structs.ReplicaReady)}}
	qt.Assert(t, invariants(checkReplicas(rows, records)), qt.DeepEquals, []string{"replicas"})
}

func TestCheckAnsweredDetectsLostRequests(t *testing.T) {
	broken := func(outcome *Outcome) { outcome.Finish, outcome.Broken = "", true }
	for _, test := range []struct {
		about   string
		outcome Outcome
		lost    bool
	}{
		{"answered", answered(nil), false},
		{"refused", refusedCall(structs.ExecutionNotRun), false},
		{"no refusal", answered(func(outcome *Outcome) { outcome.Finish = "" }), true},
		{"broken", answered(broken), true},
		{"broken with a failed router", answered(func(outcome *Outcome) { broken(outcome); outcome.RouterDied = true }), false},
		{"refused late", func() Outcome {
			late := refusedCall(structs.ExecutionNotRun)
			late.EndedAt = at(10).Add(answerGrace + time.Second)
			return late
		}(), true},
	} {
		last := lastOutcomes([]Outcome{test.outcome})
		qt.Check(t, len(checkAnswered(last)) > 0, qt.Equals, test.lost, qt.Commentf(test.about))
	}
}

func TestCheckPlannedStopsDetectsInterruptedRequests(t *testing.T) {
	stop := plannedStop{daemon: "d", from: at(1), until: at(3)}
	broken := func(change func(*Outcome)) Outcome {
		return answered(func(outcome *Outcome) {
			outcome.Finish, outcome.Broken = "", true
			if change != nil {
				change(outcome)
			}
		})
	}
	for _, test := range []struct {
		about    string
		exitCode int
		outcome  Outcome
		want     []string
	}{
		{"answered during the stop", daemon.ExitOK, answered(nil), nil},
		{"broken during the stop", daemon.ExitOK, broken(nil), []string{"planned_stop"}},
		{"broken at another daemon", daemon.ExitOK, broken(func(outcome *Outcome) { outcome.Router = "e" }), nil},
		{"broken before the stop", daemon.ExitOK, broken(func(outcome *Outcome) { outcome.EndedAt = at(0) }), nil},
		{"sent after the stop", daemon.ExitOK, broken(func(outcome *Outcome) { outcome.SentAt, outcome.EndedAt = at(4), at(5) }), nil},
		{"the daemon interrupted requests", daemon.ExitCut, answered(nil), []string{"planned_stop"}},
		{"the daemon had to be killed", -1, answered(nil), []string{"planned_stop"}},
	} {
		stop.exitCode = test.exitCode
		got := invariants(checkPlannedStops([]plannedStop{stop}, []Outcome{test.outcome}))
		qt.Check(t, got, qt.DeepEquals, test.want, qt.Commentf(test.about))
	}
}
