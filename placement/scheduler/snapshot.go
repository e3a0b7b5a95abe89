package scheduler

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Table is the part of the adopted table that the planner reads.
type Table interface {
	// Row returns the named row, and false if there is none.
	Row(structs.RowName) (structs.Row, bool)
	// Grant returns the zone's grant for the row; its limit is zero if there is none.
	Grant(structs.RowName) structs.Grant
	// RowsWithMinimum returns the sorted names of the rows with a positive MinReplicas.
	RowsWithMinimum() []structs.RowName
	// AdaptersOf returns the sorted names of the base's adapters. Callers must not modify
	// the result.
	AdaptersOf(base structs.RowName) []structs.RowName
}

// Snapshot is the input of Plan.
type Snapshot struct {
	Now      time.Time
	Table    Table
	Runners  []Runner
	Replicas []Replica
	// Demand has at most one entry per row; rows without demand may be omitted.
	Demand []Demand
	// Interarrivals holds the observed interarrival times of rows; rows may be missing.
	Interarrivals map[structs.RowName]*Interarrivals
	// Expected lists the rows likely to be used soon, the most likely first.
	Expected []Expectation
	// StoreLoadsInFlight counts the running loads and prefetches from the weight store, and
	// StoreLoadBudget is how many may run at once.
	StoreLoadsInFlight int
	StoreLoadBudget    int
	Settings           Settings
}

// Runner is the planner's view of a runner.
type Runner struct {
	ID          structs.RunnerID
	Role        structs.RunnerRole
	Incarnation structs.Incarnation
	MemoryBytes int64
	// MemoryReserved is the memory reserved in the zone's records.
	MemoryReserved int64
	// Leaving runners are to be emptied: they are shutting down, draining or gone.
	Leaving bool
	// Lagging runners have no recent report; nothing is loaded or unloaded there.
	Lagging bool
	Cached  []structs.CachedRow
	// Prefetching names the row whose checkpoint is being copied to the runner's disk, or
	// is empty. The copy counts in StoreLoadsInFlight.
	Prefetching structs.RowName
}

// Replica is the planner's view of a replica.
type Replica struct {
	Row         structs.RowName
	Base        structs.RowName
	Runner      structs.RunnerID
	State       structs.ReplicaState
	MemoryBytes int64
	Since       time.Time
	// Busy counts the running and queued requests on the replica.
	Busy int
}

// Demand is the demand for one row in the whole zone.
type Demand struct {
	Row     structs.RowName
	Waiting int
	Running int
	// Highest is the highest priority of the waiting requests.
	Highest    structs.Priority
	OldestWait time.Duration
	// RatePerSecond is the smoothed arrival rate.
	RatePerSecond float64
	// LastUsed is the time of the row's last request.
	LastUsed time.Time
}

// Settings are the planner's parameters for a site.
type Settings struct {
	// Objective is the default for rows without one.
	Objective structs.Objective
	// RequestsPerReplica is the number of waiting and running requests that one replica is
	// expected to serve; more replicas are loaded only above it.
	RequestsPerReplica int
	// MinResidence is how long a ready replica is protected from eviction.
	MinResidence time.Duration
	// MinKeepAlive and MaxKeepAlive bound how long an idle replica is kept.
	MinKeepAlive time.Duration
	MaxKeepAlive time.Duration
	// LatencyColdStartWorth and IdleColdStartWorth are, for the two objectives, the seconds
	// of idle runner time that one second of cold start is worth.
	LatencyColdStartWorth float64
	IdleColdStartWorth    float64
	// ReserveBytes is the memory kept free on one runner of each role, so that a load need
	// not wait for an eviction; 0 reserves none.
	ReserveBytes int64
	// The rates at which a checkpoint is read from each tier, in bytes per second.
	MemoryBytesPerSecond int64
	DiskBytesPerSecond   int64
	StoreBytesPerSecond  int64
}

// DefaultSettings returns the settings of a site that configures none.
func DefaultSettings() Settings {
	return Settings{
		Objective:             structs.ObjectiveLatency,
		RequestsPerReplica:    32,
		MinResidence:          10 * time.Second,
		MinKeepAlive:          5 * time.Second,
		MaxKeepAlive:          96 * time.Hour,
		LatencyColdStartWorth: 5000,
		IdleColdStartWorth:    1,
		MemoryBytesPerSecond:  20 << 30,
		DiskBytesPerSecond:    4 << 30,
		StoreBytesPerSecond:   1 << 30,
	}
}

// Reason is why a step is planned.
type Reason string

// The reasons for a step.
const (
	// ReasonMinimum: the row has fewer replicas than its minimum.
	ReasonMinimum Reason = "minimum"
	// ReasonDemand: requests wait for the row.
	ReasonDemand Reason = "demand"
	// ReasonBase: an adapter to be loaded needs the row as its base.
	ReasonBase Reason = "base"
	// ReasonReplace: the row's replica is on a leaving runner.
	ReasonReplace Reason = "replace"
	// ReasonSurplus: the row has more replicas than its limit, or was deleted.
	ReasonSurplus Reason = "surplus"
	// ReasonLeaving: the runner is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonIdle: the row was idle for longer than its keep-alive time.
	ReasonIdle Reason = "idle"
	// ReasonPrewarm: the row is likely to be used soon.
	ReasonPrewarm Reason = "prewarm"
	// ReasonReserve: memory is freed for the next load.
	ReasonReserve Reason = "reserve"
	// ReasonEvicted: a row with demand needs the memory.
	ReasonEvicted Reason = "evicted"
)

// LoadDecision is a replica to load.
type LoadDecision struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Tier   structs.CacheTier
	Reason Reason
}

// UnloadDecision is a replica to unload.
type UnloadDecision struct {
	Row    structs.RowName
	Runner structs.RunnerID
	Reason Reason
}

// PrefetchDecision is a checkpoint to copy to a runner's disk while the row waits for
// memory there.
type PrefetchDecision struct {
	Row    structs.RowName
	Runner structs.RunnerID
}

// RowWanted is how many replicas of a row the zone could use, regardless of its grant.
type RowWanted struct {
	Row      structs.RowName
	Replicas int
}

// PlanResult is the result of Plan. Loads and unloads are in order of urgency.
type PlanResult struct {
	Loads      []LoadDecision
	Unloads    []UnloadDecision
	Prefetches []PrefetchDecision
	// Wanted has an entry for each row that is or should be loaded, sorted by row.
	Wanted []RowWanted
}
