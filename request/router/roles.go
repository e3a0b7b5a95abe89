package router

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// registrationTime is how long after the first placement runners may still register,
// so that a role without one is not taken for lost.
const registrationTime = 10 * time.Second

// roles knows which roles of runner the zone has.
type roles struct {
	// accepting holds the runners that take work, counts their number by role; a role
	// that had one stays in counts with 0.
	accepting map[structs.RunnerID]structs.RunnerRole
	counts    map[structs.RunnerRole]int
	// knownAt is when the first placement came.
	knownAt time.Time
}

func (r *roles) adopt(now time.Time, placement structs.Placement) {
	if r.accepting == nil {
		r.accepting = map[structs.RunnerID]structs.RunnerRole{}
		r.counts = map[structs.RunnerRole]int{}
		r.knownAt = now
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

// lost reports whether no runner of the role takes work, and none is just to register.
func (r *roles) lost(now time.Time, role structs.RunnerRole) bool {
	if r.accepting == nil || r.counts[role] > 0 {
		return false
	}
	_, seen := r.counts[role]
	return seen || now.Sub(r.knownAt) >= registrationTime
}

// roleLost reports whether the zone may load the row and has no runner that could.
func (c *Core) roleLost(wanted *row) bool {
	return wanted.limit > 0 && c.roles.lost(c.now, wanted.Role)
}

// noRunner is why a row is refused whose role has no runner here, and that no other
// zone serves.
func (c *Core) noRunner(wanted *row) structs.Error {
	problem := structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("no runner of role %s takes work in zone %s, and no other zone can be asked for row %s", wanted.Role, c.options.Zone, wanted.Name),
		"Come back after the time given; if it lasts, have the operators add a runner of the role or move the row to another zone.")
	problem.RetryAfter = c.spread(wanted.estimator.ColdLoad())
	return *problem
}
