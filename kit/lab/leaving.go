package lab

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

// leavingBound is the time after which a runner listed as leaving must not get new work.
// It includes the lag of the machine list.
const leavingBound = 3 * time.Second

// leavingNotice is the period from listing a machine as leaving until it is gone or live
// again.
type leavingNotice struct {
	runner structs.RunnerID
	from   time.Time
	until  time.Time
}

// checkLeaving checks that a leaving runner gets no new work after leavingBound.
// Requests count from their acceptance by the engine, replicas from the start of their
// load.
func checkLeaving(notices []leavingNotice, records map[structs.RunnerID]emulator.Records) []Violation {
	var violations []Violation
	for _, notice := range notices {
		record := records[notice.runner]
		late := func(at time.Time) bool { return at.After(notice.from.Add(leavingBound)) && at.Before(notice.until) }
		add := func(at time.Time, what string) {
			violations = append(violations, Violation{"leaving",
				fmt.Sprintf("%s %s %v after it was listed as leaving", notice.runner, what, at.Sub(notice.from).Round(time.Millisecond))})
		}
		for _, execution := range record.Executions {
			if late(execution.ArrivedAt) {
				add(execution.ArrivedAt, "took request "+string(execution.ID))
			}
		}
		for _, change := range record.ReplicaChanges {
			if change.State == structs.ReplicaLoading && late(change.At) {
				add(change.At, "began to load "+string(change.Row))
			}
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Detail, b.Detail) })
	return violations
}
