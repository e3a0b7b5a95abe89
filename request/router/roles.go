package router

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// registrationGrace is the time after the first placement during which runners may still
// register and a role without runners is not considered lost.
const registrationGrace = 10 * time.Second

// roles tracks the runner roles of the zone.
type roles struct {
	// accepting holds the role of each runner that accepts work, counts the number of
	// runners by role; a role that has lost its runners stays in counts with 0.
	accepting        map[structs.RunnerID]structs.RunnerRole
	counts           map[structs.RunnerRole]int
	firstPlacementAt time.Time
}

func (r *roles) adopt(now time.Time, placement structs.Placement) {
	if r.accepting == nil {
		r.accepting = map[structs.RunnerID]structs.RunnerRole{}
		r.counts = map[structs.RunnerRole]int{}
		r.firstPlacementAt = now
	}
	if !placement.Partial {
		clear(r.accepting)
		for role := range r.counts {
			r.counts[role] = 0
		}
	}
	for _, info := range placement.Runners {
		r.remove(info.ID)
		if !info.Leaving {
			r.accepting[info.ID] = info.Role
			r.counts[info.Role]++
		}
	}
}

func (r *roles) remove(id structs.RunnerID) {
	if role, known := r.accepting[id]; known {
		delete(r.accepting, id)
		r.counts[role]--
	}
}

// lost reports whether no runner of the role accepts work and none is expected to
// register.
func (r *roles) lost(now time.Time, role structs.RunnerRole) bool {
	if r.accepting == nil || r.counts[role] > 0 {
		return false
	}
	_, seen := r.counts[role]
	return seen || now.Sub(r.firstPlacementAt) >= registrationGrace
}

// roleLost reports whether the zone may load the row but has no runner that could.
func (c *Core) roleLost(target *row) bool {
	return target.limit > 0 && c.roles.lost(c.now, target.Role)
}

// noRunner returns the error for a row whose role has no runner here and that no other
// zone serves.
func (c *Core) noRunner(target *row) structs.Error {
	problem := structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("no runner of role %s accepts work in zone %s, and no other zone can serve row %s", target.Role, c.options.Zone, target.Name),
		"Retry after the given delay; if the error persists, have the operators add a runner of the role or move the row to another zone.")
	problem.RetryAfter = c.retryAfter(target.estimator.ColdLoad())
	return *problem
}
