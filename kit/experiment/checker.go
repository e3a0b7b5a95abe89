package experiment

import (
	"fmt"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// maxViolations limits the violations recorded for a run.
const maxViolations = 20

// Violation is a breach of an invariant.
type Violation struct {
	// Invariant is "memory", "replicas", "store", "requests", "table" or "engine".
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// checker verifies invariants on the engines, the store and the requests themselves,
// independently of the planner's view.
type checker struct {
	sim *simulation
	// storeLimit is the maximum number of concurrent reads of the store, including
	// waiting ones.
	storeLimit int
	storePeak  int
	memoryPeak float64
	violations []Violation
}

func (c *checker) fail(invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, arguments...)})
	}
}

// checkLoad checks the engine's memory use and role and the number of replicas of the
// row.
func (c *checker) checkLoad(e *engine, row structs.Row) {
	c.memoryPeak = max(c.memoryPeak, float64(e.used)/float64(e.info.MemoryBytes))
	if e.used > e.info.MemoryBytes {
		c.fail("memory", "%s uses %d of %d bytes of memory after starting to load %s", e.info.ID, e.used, e.info.MemoryBytes, row.Name)
	}
	if e.info.Role != row.Role {
		c.fail("engine", "%s with role %s was ordered to load %s with role %s", e.info.ID, e.info.Role, row.Name, row.Role)
	}
	count := 0
	for _, z := range c.sim.zones {
		for _, other := range z.engines {
			if other.replicas[row.Name] != nil {
				count++
			}
		}
	}
	if count > row.MaxReplicas {
		c.fail("replicas", "%s has %d replicas; the maximum is %d", row.Name, count, row.MaxReplicas)
	}
}

// checkStoreReads checks the number of active and waiting reads of the store.
func (c *checker) checkStoreReads(state engineapi.StoreState) {
	asked := state.Active + state.Waiting
	c.storePeak = max(c.storePeak, asked)
	if asked > c.storeLimit {
		c.fail("store", "%d concurrent store reads; the maximum is %d", asked, c.storeLimit)
	}
}

// checkZoneStates checks the invariants of the zones' state machines.
func (c *checker) checkZoneStates() {
	for _, z := range c.sim.zones {
		if err := z.state.CheckInvariants(); err != nil {
			c.fail("table", "zone %s: %v", z.id, err)
		}
	}
}

// checkRequestCount checks that every request that arrived has ended.
func (c *checker) checkRequestCount(arrived, ended int) {
	if arrived != ended {
		c.fail("requests", "%d requests arrived, but %d ended", arrived, ended)
	}
}
