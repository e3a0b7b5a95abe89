package residency

import (
	"fmt"
	"slices"

	"github.com/lotusferry/lotusferry/placement/fleet"
)

// checkLists panics unless the cached lists of loaded models match the holdings. The simulations
// call it after each plan.
func (p *Planner) checkLists() {
	for instance, r := range p.runners {
		if !slices.EqualFunc(r.loaded(), r.listLoaded(), fleet.LoadedModel.Equal) {
			panic(fmt.Sprintf("runner %s is listed with %v, but holds %v", instance, r.loaded(), r.listLoaded()))
		}
	}
}
