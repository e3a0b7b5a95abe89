package experiment

import "time"

const gibibyte = int64(1) << 30

// The platform: sizes and speeds of engines and store. The largest model of the
// rehearsed sites loads in about 4 s from the store, and in less from disk.
const (
	hostMemoryBytes = 64 * gibibyte
	diskBytes       = 512 * gibibyte
	memorySpeed     = 20 * gibibyte
	diskSpeed       = 8 * gibibyte
	storeSpeed      = 12 * gibibyte
	// storeThenMemorySpeed is that of a load from the store: into memory, and from there.
	storeThenMemorySpeed = storeSpeed / gibibyte * memorySpeed / ((storeSpeed + memorySpeed) / gibibyte)
	loadBase             = 200 * time.Millisecond
	unloadTime           = 50 * time.Millisecond

	maxBatch          = 32
	decodeBase        = 12 * time.Millisecond
	decodePerSequence = 400 * time.Microsecond
	prefillPerToken   = 60 * time.Microsecond
)

// The delays of the system, from the defaults of packages config and controller.
const (
	// demandDelay passes before a router's new demand is planned for.
	demandDelay = 25 * time.Millisecond
	// planInterval passes between two plans while something is under way, and
	// between a reservation and its order.
	planInterval = 250 * time.Millisecond
	// reportDelay passes before the leader knows what an engine did.
	reportDelay = 350 * time.Millisecond
	// unloadDelay passes before an engine is told to unload.
	unloadDelay = time.Second
	// grantDelay passes before a change of grants is adopted.
	grantDelay = 100 * time.Millisecond
	// forwardDelay is the way to another zone and back.
	forwardDelay = 4 * time.Millisecond
	// idlePlanInterval passes between two plans when nothing is under way;
	// evictionInterval does for planners that unload only to make room.
	idlePlanInterval = 10 * time.Second
	evictionInterval = 10 * time.Minute
	// shortPlanInterval passes between them while replicas are there, where idle
	// hours count most.
	shortPlanInterval = 2 * time.Second
	// wishInterval passes before an unchanged wish is repeated.
	wishInterval = time.Minute
)

func transferTime(bytes, speed int64) time.Duration {
	return time.Duration(float64(bytes) / float64(speed) * float64(time.Second))
}
