package experiment

import "time"

const gibibyte = int64(1) << 30

// Sizes in bytes, speeds in bytes per second and timings of the modelled engines and
// store. The largest model of the sites loads from the store in about 4 s.
const (
	hostMemoryBytes = 64 * gibibyte
	diskBytes       = 512 * gibibyte
	memorySpeed     = 20 * gibibyte
	diskSpeed       = 8 * gibibyte
	storeSpeed      = 12 * gibibyte
	// storeThenMemorySpeed is the effective speed of a load from the store, which
	// copies the checkpoint into memory and loads it from there.
	storeThenMemorySpeed = storeSpeed / gibibyte * memorySpeed / ((storeSpeed + memorySpeed) / gibibyte)
	loadBase             = 200 * time.Millisecond
	unloadTime           = 50 * time.Millisecond

	maxBatch          = 32
	decodeBase        = 12 * time.Millisecond
	decodePerSequence = 400 * time.Microsecond
	prefillPerToken   = 60 * time.Microsecond
)

// Delays of the control plane, from the defaults of packages config and controller.
const (
	// demandDelay is the delay from new demand at a router to the plan.
	demandDelay = 25 * time.Millisecond
	// planInterval is the interval between plans while work is in progress, and the
	// delay between a reservation and its order.
	planInterval = 250 * time.Millisecond
	// reportDelay is the delay until the leader learns of a change at an engine.
	reportDelay = 350 * time.Millisecond
	// unloadDelay is the delay until an engine is ordered to unload.
	unloadDelay = time.Second
	// grantDelay is the delay until a zone adopts a change of grants.
	grantDelay = 100 * time.Millisecond
	// forwardDelay is the round-trip time to another zone.
	forwardDelay = 4 * time.Millisecond
	// idlePlanInterval is the interval between plans while no work is in progress;
	// evictionInterval is that of planners that unload only to free memory.
	idlePlanInterval = 10 * time.Second
	evictionInterval = 10 * time.Minute
	// shortPlanInterval replaces idlePlanInterval at sites that minimize idle time,
	// while replicas are loaded.
	shortPlanInterval = 2 * time.Second
	// wishInterval is the interval at which an unchanged wish is repeated.
	wishInterval = time.Minute
)

func transferTime(bytes, speed int64) time.Duration {
	return time.Duration(float64(bytes) / float64(speed) * float64(time.Second))
}
