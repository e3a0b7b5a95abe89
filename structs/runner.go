package structs

import "time"

// RunnerInfo describes a runner as the zone group knows it.
type RunnerInfo struct {
	ID          RunnerID    `json:"id"`
	Zone        ZoneID      `json:"zone"`
	Address     string      `json:"address"`
	Role        RunnerRole  `json:"role"`
	Incarnation Incarnation `json:"incarnation"`
	// MemoryBytes is the accelerator memory of the runner, all accelerators together.
	MemoryBytes  int64 `json:"memory_bytes"`
	Accelerators int   `json:"accelerators"`
	// Leaving runners get no new work and no new replicas.
	Leaving bool `json:"leaving"`
	// Silent runners' reports have stopped; routers are told that they are leaving.
	Silent bool `json:"silent,omitempty"`
}

// MachineState is the state of a machine on the platform's machine list.
type MachineState string

// The states on the machine list.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is an entry of the platform's machine list. The list lags.
type Machine struct {
	Runner  RunnerID     `json:"runner"`
	Zone    ZoneID       `json:"zone"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// CacheTier tells where a checkpoint is nearest to a runner.
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
	// ReplicaAbsent is reported for a replica that is not there (failed or unloaded).
	ReplicaAbsent ReplicaState = "absent"
)

// Replica is one loaded, loading or unloading copy of a row on a runner, as the
// zone log records it. Its memory is reserved from the moment the record exists
// until the record is removed.
type Replica struct {
	Row         RowName      `json:"row"`
	Runner      RunnerID     `json:"runner"`
	Incarnation Incarnation  `json:"incarnation"`
	State       ReplicaState `json:"state"`
	MemoryBytes int64        `json:"memory_bytes"`
	// Order is the number of the last order about this replica.
	Order OrderNumber `json:"order"`
	// Since is when the state was entered, by the proposing leader's clock.
	Since time.Time `json:"since"`
}

// EngineReplica is a replica as the engine itself reports it.
type EngineReplica struct {
	Row   RowName      `json:"row"`
	State ReplicaState `json:"state"`
	// Fence is the order that created or last changed the replica.
	Fence Fence `json:"fence"`
	// Running and Queued count the requests on this replica.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CachedRow tells that a runner has a checkpoint of the row in a tier.
type CachedRow struct {
	Row  RowName   `json:"row"`
	Tier CacheTier `json:"tier"`
}

// EngineReport is what an engine says of itself. It lags by the engine's
// reporting interval.
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
