package scheduler

import "github.com/lotusferry/lotusferry/structs"

// minMemoryPerReserve is the minimum ratio of a role's memory to its reserve.
const minMemoryPerReserve = 3

// planReserve keeps room free on one runner of each role, so that the next load need
// not wait for an eviction. It unloads the replicas with the lowest expected cost, and
// only if the plan loads and unloads nothing else.
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

// reserveFor makes room on one runner of the role, unless one has room already.
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

// reserve returns the bytes to keep free for the role. It is 0 if the reserve would be
// a large part of the role's memory, where it would cause more cold starts than it
// shortens.
func (p *planner) reserve(role structs.RunnerRole) int64 {
	if reserve, known := p.reserveByRole[role]; known {
		return reserve
	}
	total := int64(0)
	for _, runner := range p.runners {
		if runner.Role == role && !runner.Leaving {
			total += runner.MemoryBytes
		}
	}
	reserve := p.settings.ReserveBytes
	if reserve > total/minMemoryPerReserve {
		reserve = 0
	}
	p.reserveByRole[role] = reserve
	return reserve
}

// countRunnersWithReserve returns, by role, the number of runners with the reserve free.
func (p *planner) countRunnersWithReserve() map[structs.RunnerRole]int {
	count := map[structs.RunnerRole]int{}
	for _, runner := range p.runners {
		if p.hasReserve(runner) {
			count[runner.Role]++
		}
	}
	return count
}

func (p *planner) hasReserve(runner *runnerState) bool {
	return !runner.Leaving && !runner.Lagging && runner.future >= p.reserve(runner.Role)
}

// leavesReserve reports whether the role still has its reserve after need bytes are
// taken on the runner. runnersWithReserve is the role's present count.
func (p *planner) leavesReserve(runner *runnerState, need int64, runnersWithReserve int) bool {
	reserve := p.reserve(runner.Role)
	if reserve == 0 || runner.future-need >= reserve {
		return true
	}
	if p.hasReserve(runner) {
		runnersWithReserve--
	}
	return runnersWithReserve > 0
}
