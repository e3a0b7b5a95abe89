package residency

import (
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// checkLists panics unless what routers are told of each runner is what the planner knows of it now. The worlds of
// the load tests call it after each plan.
func (p *Planner) checkLists() {
	for instance, known := range p.runners {
		if !slices.EqualFunc(known.loaded(), known.listLoaded(), fleet.LoadedModel.Equal) {
			panic(fmt.Sprintf("what %s holds is listed as %v and is %v", instance, known.loaded(), known.listLoaded()))
		}
	}
}
