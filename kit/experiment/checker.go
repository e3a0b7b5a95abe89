package experiment

import (
	"fmt"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// maxViolations bounds the list of a run.
const maxViolations = 20

// Violation is something that must never happen and did.
type Violation struct {
	// Invariant is "memory", "replicas", "store", "requests", "table" or "engine".
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// checker watches the engines, the store and the requests themselves, not what
// the planner believes of them.
type checker struct {
	world *world
	// storeLimit is how many reads may be asked of the store at once.
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

// loadBegins checks the engine's memory and the number of the row's replicas.
func (c *checker) loadBegins(e *engine, row structs.Row) {
	c.memoryPeak = max(c.memoryPeak, float64(e.used)/float64(e.info.MemoryBytes))
	if e.used > e.info.MemoryBytes {
		c.fail("memory", "%s holds %d bytes of %d after %s began to load", e.info.ID, e.used, e.info.MemoryBytes, row.Name)
	}
	if e.info.Role != row.Role {
		c.fail("engine", "%s has role %s and was told to load %s of role %s", e.info.ID, e.info.Role, row.Name, row.Role)
	}
	count := 0
	for _, z := range c.world.zones {
		for _, other := range z.engines {
			if other.replicas[row.Name] != nil {
				count++
			}
		}
	}
	if count > row.MaxReplicas {
		c.fail("replicas", "%s has %d replicas, %d are allowed", row.Name, count, row.MaxReplicas)
	}
}

// storeAsked checks the reads under way and waiting at the store.
func (c *checker) storeAsked(state engineapi.StoreState) {
	asked := state.Active + state.Waiting
	c.storePeak = max(c.storePeak, asked)
	if asked > c.storeLimit {
		c.fail("store", "%d reads were asked of the store at once, %d are allowed", asked, c.storeLimit)
	}
}

// zoneStates checks the invariants of the zones' state machines.
func (c *checker) zoneStates() {
	for _, z := range c.world.zones {
		if err := z.state.CheckInvariants(); err != nil {
			c.fail("table", "zone %s: %v", z.id, err)
		}
	}
}

// ends checks that every request has one end.
func (c *checker) ends(arrived, ended int) {
	if arrived != ended {
		c.fail("requests", "%d requests arrived and %d ended", arrived, ended)
	}
}
