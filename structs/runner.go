package structs

import "time"

// RunnerInfo is the record of a runner in the zone group.
type RunnerInfo struct {
	ID          RunnerID    `json:"id"`
	Zone        ZoneID      `json:"zone"`
	Address     string      `json:"address"`
	Role        RunnerRole  `json:"role"`
	Incarnation Incarnation `json:"incarnation"`
	// Version is that of the runner's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// MemoryBytes is the total memory of the accelerators of the runner.
	MemoryBytes  int64 `json:"memory_bytes"`
	Accelerators int   `json:"accelerators"`
	// Leaving runners get no new requests or replicas.
	Leaving bool `json:"leaving"`
	// Silent is set if the runner's reports have stopped. Routers see it as leaving.
	Silent bool `json:"silent,omitempty"`
}

// MachineState is the state of a machine on the platform's machine list.
type MachineState string

// The states on the machine list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is an entry of the platform's machine list, which may be outdated.
type Machine struct {
	Runner  RunnerID     `json:"runner"`
	Zone    ZoneID       `json:"zone"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// CacheTier is where the closest copy of a checkpoint is for a runner.
type CacheTier string

// The tiers, fastest first.
const (
	TierMemory CacheTier = "memory"
	TierDisk   CacheTier = "disk"
	TierStore  CacheTier = "store"
)

// ReplicaState is the state of a replica on a runner.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaReady     ReplicaState = "ready"
	ReplicaUnloading ReplicaState = "unloading"
	// ReplicaAbsent is reported for a replica that failed or was unloaded.
	ReplicaAbsent ReplicaState = "absent"
)

// Replica is the record of a loaded, loading or unloading copy of a row on a runner in
// the zone log. Its memory is reserved until the record is removed.
type Replica struct {
	Row         RowName      `json:"row"`
	Runner      RunnerID     `json:"runner"`
	Incarnation Incarnation  `json:"incarnation"`
	State       ReplicaState `json:"state"`
	MemoryBytes int64        `json:"memory_bytes"`
	// Order is the number of the last order for this replica.
	Order OrderNumber `json:"order"`
	// Since is the time of the last change of state, by the proposing leader's clock.
	Since time.Time `json:"since"`
}

// EngineReplica is a replica as reported by its engine.
type EngineReplica struct {
	Row   RowName      `json:"row"`
	State ReplicaState `json:"state"`
	// Fence is that of the order that created or last changed the replica.
	Fence Fence `json:"fence"`
	// Running and Queued count the requests on this replica.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CachedRow is a checkpoint of a row in a cache tier of a runner.
type CachedRow struct {
	Row  RowName   `json:"row"`
	Tier CacheTier `json:"tier"`
}

// EngineReport is the state of an engine as reported by itself. It is outdated by up to
// the engine's reporting interval.
type EngineReport struct {
	Runner       RunnerID        `json:"runner"`
	Incarnation  Incarnation     `json:"incarnation"`
	Role         RunnerRole      `json:"role"`
	Fence        Fence           `json:"fence"`
	MemoryBytes  int64           `json:"memory_bytes"`
	MemoryUsed   int64           `json:"memory_used"`
	Accelerators int             `json:"accelerators"`
	Replicas     []EngineReplica `json:"replicas"`
	Cached       []CachedRow     `json:"cached"`
	Load         LoadReport      `json:"load"`
}

// LoadReport is an engine's load at ObservedAt.
type LoadReport struct {
	Running         int       `json:"running"`
	Queued          int       `json:"queued"`
	MaxBatch        int       `json:"max_batch"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	ObservedAt      time.Time `json:"observed_at"`
}
