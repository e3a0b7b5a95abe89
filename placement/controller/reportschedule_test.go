package controller

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lotusferry/lotusferry/structs"
)

func TestAwaitedReportsAreReadEveryInterval(t *testing.T) {
	const runners, rounds = 40, 3
	var machines []structs.Machine
	for i := range runners {
		machines = append(machines, structs.Machine{Runner: structs.RunnerID(fmt.Sprint("runner-", i))})
	}
	schedule := NewReportSchedule()
	qt.Assert(t, schedule.Due(machines), qt.HasLen, runners)
	qt.Assert(t, schedule.New(machines), qt.HasLen, runners)
	for _, machine := range machines {
		schedule.Read(machine.Runner, true)
	}
	qt.Assert(t, schedule.New(machines), qt.HasLen, 0)
	schedule.Await(map[structs.RunnerID]bool{"runner-7": true})
	schedule.Read("runner-9", false)
	reads := map[structs.RunnerID]int{}
	for range rounds * idleReadEvery {
		due := schedule.Due(machines)
		qt.Assert(t, len(due) < runners, qt.IsTrue)
		for _, machine := range due {
			reads[machine.Runner]++
		}
	}
	for _, machine := range machines {
		want := rounds
		if machine.Runner == "runner-7" || machine.Runner == "runner-9" {
			want = rounds * idleReadEvery
		}
		qt.Check(t, reads[machine.Runner], qt.Equals, want, qt.Commentf("%s", machine.Runner))
	}
}
