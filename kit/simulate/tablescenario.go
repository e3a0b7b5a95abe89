package simulate

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	// The random streams of a seed.
	siteStream  = 1
	faultStream = 2

	// faultsEnd is when all faults heal and operators stop, without plans.
	faultsEnd = 60 * time.Second
	// eventLimit bounds the events of a seed to detect endless message loops;
	// eventsPerHour extends it for long runs.
	eventLimit    = 400_000
	eventsPerHour = 1_000_000
	// convergenceInterval is the interval of convergence checks.
	convergenceInterval = 250 * time.Millisecond
)

var _ = register(tableScenario())

func tableScenario() scenario {
	return scenario{
		info: ScenarioInfo{
			Name: tableScenarioName,
			Sentence: "Operators race edits while zones, controllers, disks, clocks and engines fail; " +
				"replica limits, memory, fencing and accepted edits must hold, and all zones must converge.",
			Checkers: tableCheckers,
			Plans:    tablePlanInfos(),
		},
		run:       runTable,
		mutations: tableMutations(),
	}
}

func runTable(plan seedPlan) seedOutcome { return followTable(plan, planTable(plan)) }

// followTable runs a seed with the given timetable.
func followTable(plan seedPlan, table timetable) seedOutcome {
	site := newTableSite(plan, table)
	site.trace.Note("seed", formatHash(plan.seed), plan.mutation)
	site.schedule(table.faults, site.inject)
	site.scheduler.limit = eventLimit + uint64(table.end.Hours()*eventsPerHour)
	site.scheduler.Run(table.end)
	if site.judge.violation == nil && !site.scheduler.Exhausted() {
		site.settle()
	}
	if site.judge.violation == nil && !site.scheduler.Exhausted() {
		site.checkHistory()
	}
	if site.scheduler.Exhausted() {
		site.judge.Report(checkerRunaway, "%d events happened by %v", site.scheduler.limit, site.scheduler.Now())
	}
	return site.outcome(tableScenarioName, table.faults)
}

// settle stops the load and waits for the site to converge.
func (s *tableSite) settle() {
	s.quiet = true
	s.trace.Note("heal", "site", "")
	problem := "nothing was checked"
	for end := s.end + s.pace.convergence; s.scheduler.Now() < end && s.judge.violation == nil; {
		if s.scheduler.Exhausted() {
			return
		}
		s.scheduler.Run(s.scheduler.Now() + convergenceInterval)
		if problem = s.unsettled(); problem == "" {
			s.counts.Converged++
			s.checkFinalTable()
			return
		}
	}
	s.judge.Report(checkerConvergence, "%v after the last fault healed, %s", s.pace.convergence, problem)
}

// unsettled describes what prevents convergence; empty if the site has converged.
func (s *tableSite) unsettled() string {
	for _, d := range s.daemons {
		for _, m := range d.members() {
			if problem := s.memberUnsettled(d, m); problem != "" {
				return problem
			}
		}
	}
	return s.excessReplicas()
}

func (s *tableSite) memberUnsettled(d *daemon, m *member) string {
	name := fmt.Sprintf("%s of group %s", m.machine.Address, m.group)
	if !m.running() || m.machine.paused {
		return name + " does not run"
	}
	if !d.votes() {
		return name + " does not vote"
	}
	revision := s.ledger.newestTable.Revision()
	if newest := s.ledger.log(m.group).newest; m.applied != newest {
		return fmt.Sprintf("%s has applied index %d of %d", name, m.applied, newest)
	}
	switch state := m.state.(type) {
	case *zoneMachine:
		if state.state.TableRevision() != revision {
			return fmt.Sprintf("%s has table revision %d of %d", name, state.state.TableRevision(), revision)
		}
	case *tableMachine:
		if state.state.Revision() != revision {
			return fmt.Sprintf("%s is at table revision %d of %d", name, state.state.Revision(), revision)
		}
	}
	return ""
}

// excessReplicas describes a row with more loaded replicas than the table allows;
// empty if there is none.
func (s *tableSite) excessReplicas() string {
	totals := map[structs.RowName]int{}
	for _, record := range s.ledger.engines {
		for row := range record.loaded {
			totals[row]++
		}
	}
	for _, row := range simulatedRows {
		if limit := s.ledger.edits.maxReplicas(row); totals[row] > limit {
			return fmt.Sprintf("%d replicas of %s are loaded, the table allows %d", totals[row], row, limit)
		}
	}
	return ""
}

// checkFinalTable compares the states of all members with each other and with the
// accepted edits.
func (s *tableSite) checkFinalTable() {
	first := map[groupName][]byte{}
	expected := s.ledger.edits.rowsAt(s.ledger.newestTable.Revision())
	for _, d := range s.daemons {
		for _, m := range d.members() {
			s.checkInvariantsOf(m, first)
			var rows []structs.Row
			switch state := m.state.(type) {
			case *zoneMachine:
				rows = state.state.Rows()
			case *tableMachine:
				rows = state.state.Rows()
			}
			if !slices.Equal(rows, expected) {
				s.judge.Report(checkerConvergence, "%s of group %s ends with other rows than were accepted: %v instead of %v",
					m.machine.Address, m.group, rows, expected)
			}
		}
	}
}

func (s *tableSite) checkInvariantsOf(m *member, first map[groupName][]byte) {
	s.ledger.checkInvariants(m)
	snapshot, err := m.state.snapshot()
	if err != nil {
		s.memberFailed(m, "take a snapshot", err)
		return
	}
	if other, ok := first[m.group]; ok && !bytes.Equal(other, snapshot) {
		s.judge.Report(checkerConvergence, "the members of group %s differ at the same index", m.group)
	}
	first[m.group] = snapshot
}

// outcome returns the outcome of the seed.
func (s *tableSite) outcome(scenarioName string, faults []Fault) seedOutcome {
	for _, d := range s.daemons {
		s.counts.Crashes += d.machine.crashes
	}
	outcome := s.seedOutcome(scenarioName, faults)
	outcome.taken = s.ledger.taken
	return outcome
}
