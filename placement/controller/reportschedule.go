package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// idleReadEvery is the number of report intervals between reads of an engine whose report is
// not awaited. The time between two reads of a live engine stays below DefaultLaggingAfter.
const idleReadEvery = 4

// relayedReadEvery is the same for an engine whose report a router relays as unchanged. It
// bounds how long the leader relies on a router.
const relayedReadEvery = 128

// ReportSchedule selects the engines whose reports a leader reads. It is not safe for
// concurrent use.
type ReportSchedule struct {
	interval uint64
	awaited  map[structs.RunnerID]bool
	// answered holds the runners whose last read returned a report.
	answered map[structs.RunnerID]bool
	// relayed holds the runners whose reports a router relays as unchanged, and suspect those
	// to read next because a router reported a change or stopped relaying them.
	relayed map[structs.RunnerID]time.Time
	suspect map[structs.RunnerID]bool
}

// NewReportSchedule returns the schedule of a new leader, which has read no report.
func NewReportSchedule() *ReportSchedule {
	return &ReportSchedule{answered: map[structs.RunnerID]bool{}, suspect: map[structs.RunnerID]bool{}}
}

// Await sets the runners whose reports are awaited; see Decisions.Awaited.
func (s *ReportSchedule) Await(runners map[structs.RunnerID]bool) { s.awaited = runners }

// Relay sets the runners whose reports a router relays as unchanged. One that is no longer
// among them becomes suspect.
func (s *ReportSchedule) Relay(runners map[structs.RunnerID]time.Time) {
	for runner := range s.relayed {
		if _, still := runners[runner]; !still {
			s.suspect[runner] = true
		}
	}
	s.relayed = runners
}

// Suspect adds runners whose reports have changed according to a router.
func (s *ReportSchedule) Suspect(runners []structs.RunnerID) {
	for _, runner := range runners {
		s.suspect[runner] = true
	}
}

// Read records a read and whether it returned a report.
func (s *ReportSchedule) Read(runner structs.RunnerID, answered bool) {
	delete(s.suspect, runner)
	if !answered {
		delete(s.answered, runner)
		return
	}
	s.answered[runner] = true
}

// Due begins a report interval and returns the machines whose reports are read in it: those
// that are awaited, suspect or did not answer, every idleReadEvery-th interval the others,
// and every relayedReadEvery-th those that routers relay.
func (s *ReportSchedule) Due(machines []structs.Machine) []structs.Machine {
	s.interval++
	listed := make(map[structs.RunnerID]bool, len(machines))
	var due []structs.Machine
	for _, machine := range machines {
		id := machine.Runner
		listed[id] = s.answered[id]
		every := uint64(idleReadEvery)
		if _, relayed := s.relayed[id]; relayed {
			every = relayedReadEvery
		}
		turn := (s.interval+xxhash.Sum64String(string(id)))%every == 0
		if turn || !s.answered[id] || s.awaited[id] || s.suspect[id] {
			due = append(due, machine)
		}
	}
	s.answered = listed
	return due
}

// New returns the machines that have not answered yet or are suspect.
func (s *ReportSchedule) New(machines []structs.Machine) []structs.Machine {
	var added []structs.Machine
	for _, machine := range machines {
		if !s.answered[machine.Runner] || s.suspect[machine.Runner] {
			added = append(added, machine)
		}
	}
	return added
}

// awaited returns the runners whose next report decides something: a load, an unload or a
// prefetch is recorded there or being proposed.
func (d *decider) awaited() map[structs.RunnerID]bool {
	runners := map[structs.RunnerID]bool{}
	for _, replica := range d.replicas {
		if replica.State != structs.ReplicaReady {
			runners[replica.Runner] = true
		}
	}
	for _, runner := range d.runners {
		if runner.Prefetch != "" {
			runners[runner.ID] = true
		}
	}
	for _, command := range d.decisions.Commands {
		switch {
		case command.Reserve != nil:
			runners[command.Reserve.Runner] = true
		case command.Transition != nil:
			runners[command.Transition.Runner] = true
		case command.Prefetch != nil:
			runners[command.Prefetch.Runner] = true
		}
	}
	return runners
}
