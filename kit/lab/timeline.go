package lab

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// Second is one second of a run: what became of the calls that were due in it, and
// what the engines held at its end.
type Second struct {
	// At counts the seconds from the beginning of the load.
	At       int `json:"at_seconds"`
	Due      int `json:"due"`
	Answered int `json:"answered"`
	// Refused counts refusals by kind and execution; Lost and Cut are those of Totals.
	Refused map[string]int `json:"refused_by,omitempty"`
	Lost    int            `json:"lost,omitempty"`
	Cut     int            `json:"cut_by_dead_router,omitempty"`
	// FirstToken is counted from when the calls were due.
	FirstToken Percentiles `json:"first_token_seconds"`
	// Replicas counts loading, ready and unloading ones.
	Replicas    int   `json:"replicas"`
	LoadedBytes int64 `json:"loaded_bytes"`
}

// newTimeline sorts the last outcomes of all calls into seconds from began on.
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

// addLoaded fills in what the engines held at the end of each second.
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
