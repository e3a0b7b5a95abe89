package scheduler

import "github.com/lotusferry/lotusferry/structs"

// reserveParts is how many times the reserve has to fit into a role's memory.
const reserveParts = 3

// planReserve keeps room on one runner of each role for the next load, so that it
// need not wait for an eviction. It makes the room of what is least likely to be
// missed, and only while nothing else is under way there.
func (p *planner) planReserve() {
	if p.settings.ReserveBytes <= 0 || len(p.plan.Loads)+len(p.plan.Unloads) > 0 {
		return
	}
	seen := map[structs.RunnerRole]bool{}
	for _, runner := range p.runners {
		if !seen[runner.Role] {
			seen[runner.Role] = true
			p.reserveFor(runner.Role)
		}
	}
}

// reserveFor makes room on one runner of the role, if none has it.
func (p *planner) reserveFor(role structs.RunnerRole) {
	if p.reserve(role) == 0 {
		return
	}
	row := &rowState{Row: structs.Row{Role: role, Priority: structs.PriorityLive, MemoryBytes: p.reserve(role)}}
	var best *placement
	for _, runner := range p.runners {
		if runner.Role != role || runner.Leaving || runner.Lagging {
			continue
		}
		if row.MemoryBytes <= runner.future {
			return
		}
		option := p.makeRoom(row, &placement{runner: runner, need: row.MemoryBytes})
		if option != nil && (best == nil || option.better(best)) {
			best = option
		}
	}
	if best == nil {
		return
	}
	for _, victim := range best.victims {
		p.unload(victim, ReasonReserve)
	}
}

// reserve is what is kept free for the role: nothing where that would be a large
// part of its memory, for then it costs more cold starts than it shortens.
func (p *planner) reserve(role structs.RunnerRole) int64 {
	if reserve, known := p.reserves[role]; known {
		return reserve
	}
	total := int64(0)
	for _, runner := range p.runners {
		if runner.Role == role && !runner.Leaving {
			total += runner.MemoryBytes
		}
	}
	reserve := p.settings.ReserveBytes
	if reserve > total/reserveParts {
		reserve = 0
	}
	p.reserves[role] = reserve
	return reserve
}

// roomyRunners counts, for each role, the runners that have the reserve.
func (p *planner) roomyRunners() map[structs.RunnerRole]int {
	count := map[structs.RunnerRole]int{}
	for _, runner := range p.runners {
		if p.roomy(runner) {
			count[runner.Role]++
		}
	}
	return count
}

func (p *planner) roomy(runner *runnerState) bool {
	return !runner.Leaving && !runner.Lagging && runner.future >= p.reserve(runner.Role)
}

// leavesReserve reports whether the reserve is there after so much more is taken,
// given the number of runners of the role that have it now.
func (p *planner) leavesReserve(runner *runnerState, need int64, roomy int) bool {
	reserve := p.reserve(runner.Role)
	if reserve == 0 || runner.future-need >= reserve {
		return true
	}
	if p.roomy(runner) {
		roomy--
	}
	return roomy > 0
}
