package controller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// calmEvery is how many report intervals lie between two reads of an engine of
// which nothing is awaited. The longest time between two reads of a live engine
// stays below DefaultLaggingAfter.
const calmEvery = 4

// relayedEvery is the same for an engine whose report a router says to be unchanged:
// the leader takes no router's word for longer.
const relayedEvery = 128

// ReportSchedule decides which engines' reports a leader reads. It is not safe for
// concurrent use.
type ReportSchedule struct {
	interval uint64
	awaited  map[structs.RunnerID]bool
	// answered holds the runners whose latest read brought a report.
	answered map[structs.RunnerID]bool
	// relayed holds the runners whose reports are unchanged by a router's word, and
	// suspect those that are read next because such a word ended.
	relayed map[structs.RunnerID]time.Time
	suspect map[structs.RunnerID]bool
}

// NewReportSchedule makes the schedule of a leader that has read nothing yet.
func NewReportSchedule() *ReportSchedule {
	return &ReportSchedule{answered: map[structs.RunnerID]bool{}, suspect: map[structs.RunnerID]bool{}}
}

// Await names the runners from whose reports something is expected (see Decisions).
func (s *ReportSchedule) Await(runners map[structs.RunnerID]bool) { s.awaited = runners }

// Relay names the runners whose reports are unchanged by a router's word. One that is
// named no more is read at once.
func (s *ReportSchedule) Relay(runners map[structs.RunnerID]time.Time) {
	for runner := range s.relayed {
		if _, still := runners[runner]; !still {
			s.suspect[runner] = true
		}
	}
	s.relayed = runners
}

// Suspect names runners whose reports have changed by a router's word.
func (s *ReportSchedule) Suspect(runners []structs.RunnerID) {
	for _, runner := range runners {
		s.suspect[runner] = true
	}
}

// Read notes whether a read brought a report.
func (s *ReportSchedule) Read(runner structs.RunnerID, answered bool) {
	delete(s.suspect, runner)
	if !answered {
		delete(s.answered, runner)
		return
	}
	s.answered[runner] = true
}

// Due begins a report interval and returns the machines whose reports are read in
// it: all of which something is awaited or suspected or that did not answer, and a
// part of the others, so that each has its turn every fourth interval, and seldom
// when routers read it.
func (s *ReportSchedule) Due(machines []structs.Machine) []structs.Machine {
	s.interval++
	listed := make(map[structs.RunnerID]bool, len(machines))
	var due []structs.Machine
	for _, machine := range machines {
		id := machine.Runner
		listed[id] = s.answered[id]
		every := uint64(calmEvery)
		if _, relayed := s.relayed[id]; relayed {
			every = relayedEvery
		}
		turn := (s.interval+xxhash.Sum64String(string(id)))%every == 0
		if turn || !s.answered[id] || s.awaited[id] || s.suspect[id] {
			due = append(due, machine)
		}
	}
	s.answered = listed
	return due
}

// New returns the machines that have not answered yet, or are suspected of a change.
func (s *ReportSchedule) New(machines []structs.Machine) []structs.Machine {
	var added []structs.Machine
	for _, machine := range machines {
		if !s.answered[machine.Runner] || s.suspect[machine.Runner] {
			added = append(added, machine)
		}
	}
	return added
}

// awaited returns the runners whose next report decides something: a load, an
// unload or a prefetch is recorded there, or is about to be.
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
