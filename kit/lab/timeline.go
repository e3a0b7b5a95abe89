package lab

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// Second is one second of a run: the outcomes of the calls that were due in it, and the
// state of the engines at its end.
type Second struct {
	// At is the time from the start of the load in seconds.
	At       int `json:"at_seconds"`
	Due      int `json:"due"`
	Answered int `json:"answered"`
	// Refused is the number of refusals by kind and execution; Lost and Cut are those of
	// Totals.
	Refused map[string]int `json:"refused_by,omitempty"`
	Lost    int            `json:"lost,omitempty"`
	Cut     int            `json:"cut_by_dead_router,omitempty"`
	// FirstToken is the time to first token from the due times of the calls.
	FirstToken Percentiles `json:"first_token_seconds"`
	// Replicas is the number of loading, ready and unloading replicas.
	Replicas    int   `json:"replicas"`
	LoadedBytes int64 `json:"loaded_bytes"`
}

// newTimeline groups the last outcomes of all calls by second from began.
func newTimeline(began time.Time, last map[structs.RequestID]Outcome) []Second {
	var timeline []Second
	bySecond := map[int][]Outcome{}
	length := 0
	for _, outcome := range last {
		at := int(outcome.PlannedAt.Sub(began) / time.Second)
		bySecond[at] = append(bySecond[at], outcome)
		length = max(length, at+1)
	}
	for at := range length {
		timeline = append(timeline, newSecond(at, bySecond[at]))
	}
	return timeline
}

func newSecond(at int, outcomes []Outcome) Second {
	second := Second{At: at, Due: len(outcomes)}
	firstToken := newLatencies()
	var totals Totals
	totals.RefusedBy, totals.RefusedFor = map[string]int{}, map[string]int{}
	for _, outcome := range outcomes {
		totals.count(outcome)
		if !outcome.FirstTokenAt.IsZero() {
			firstToken.add(outcome.FirstTokenAt.Sub(outcome.PlannedAt))
		}
	}
	second.Answered, second.Refused, second.Lost, second.Cut = totals.Answered, totals.RefusedBy, totals.Lost, totals.Cut
	second.FirstToken = firstToken.percentiles()
	return second
}

// addLoaded sets the replicas and the memory that the engines held at the end of each
// second.
func addLoaded(timeline []Second, began time.Time, records map[structs.RunnerID]emulator.Records) {
	for _, record := range records {
		changes := slices.Clone(record.ReplicaChanges)
		slices.SortStableFunc(changes, func(a, b emulator.ReplicaChange) int { return a.At.Compare(b.At) })
		present := map[structs.RowName]bool{}
		memory := int64(0)
		for i := range timeline {
			end := began.Add(time.Duration(timeline[i].At+1) * time.Second)
			for len(changes) > 0 && changes[0].At.Before(end) {
				memory = changes[0].MemoryUsed
				present[changes[0].Row] = true
				if changes[0].State == structs.ReplicaAbsent {
					delete(present, changes[0].Row)
				}
				changes = changes[1:]
			}
			timeline[i].Replicas += len(present)
			timeline[i].LoadedBytes += memory
		}
	}
}
