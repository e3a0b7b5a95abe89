package scheduler

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Table is the part of the adopted table that a plan reads.
type Table interface {
	// Row returns the row, and false when there is none of that name.
	Row(structs.RowName) (structs.Row, bool)
	// Grant returns the zone's grant; its limit is zero when there is none.
	Grant(structs.RowName) structs.Grant
	// RowsWithMinimum names the rows with a positive MinReplicas, in order.
	RowsWithMinimum() []structs.RowName
	// AdaptersOf names the adapters of the base, in order. The list is not to be changed.
	AdaptersOf(base structs.RowName) []structs.RowName
}

// Snapshot is what a plan is made from.
type Snapshot struct {
	Now      time.Time
	Table    Table
	Runners  []Runner
	Replicas []Replica
	// Demand has at most one entry a row; rows without demand may be left out.
	Demand []Demand
	// Interarrivals holds what was learned of rows' arrivals; it may lack rows.
	Interarrivals map[structs.RowName]*Interarrivals
	// Expected are the rows that are likely to be used soon, the most likely first.
	Expected []Expectation
	// StoreLoadsInFlight counts loads and prefetches under way from the weight store, and
	// StoreLoadBudget is how many may be at once.
	StoreLoadsInFlight int
	StoreLoadBudget    int
	Settings           Settings
}

// Runner is a runner as a plan sees it.
type Runner struct {
	ID          structs.RunnerID
	Role        structs.RunnerRole
	Incarnation structs.Incarnation
	MemoryBytes int64
	// MemoryReserved is what the zone's records reserve.
	MemoryReserved int64
	// Leaving runners are to be emptied: they are leaving, draining or gone.
	Leaving bool
	// Lagging runners have not reported of late: nothing is loaded or unloaded there.
	Lagging bool
	Cached  []structs.CachedRow
	// Prefetching names the row whose checkpoint is being copied to the runner's
	// disk, or is empty. It counts among the StoreLoadsInFlight.
	Prefetching structs.RowName
}

// Replica is a replica as a plan sees it.
type Replica struct {
	Row         structs.RowName
	Base        structs.RowName
	Runner      structs.RunnerID
	State       structs.ReplicaState
	MemoryBytes int64
	Since       time.Time
	// Busy counts the requests running and queued on the replica.
	Busy int
}

// Demand is the demand for one row in the whole zone.
type Demand struct {
	Row     structs.RowName
	Waiting int
	Running int
	// Highest is the highest priority waiting.
	Highest    structs.Priority
	OldestWait time.Duration
	// RatePerSecond is the smoothed rate of arrivals.
	RatePerSecond float64
	// LastUsed is when the row last had a request.
	LastUsed time.Time
}

// Settings are the planner's constants for a site.
type Settings struct {
	// Objective is the default for rows that name none.
	Objective structs.Objective
	// RequestsPerReplica is how many waiting and running requests one replica is
	// expected to carry; more replicas are only loaded above it.
	RequestsPerReplica int
	// MinimumResidence is how long a replica stays once ready, unless it must go.
	MinimumResidence time.Duration
	// MinimumKeepAlive and MaximumKeepAlive bound how long an idle replica stays.
	MinimumKeepAlive time.Duration
	MaximumKeepAlive time.Duration
	// LatencyColdStartWorth and IdleColdStartWorth say, for the two objectives, how
	// many seconds of an idle runner one second of cold start is worth.
	LatencyColdStartWorth float64
	IdleColdStartWorth    float64
	// ReserveBytes is how much memory is kept free on one runner of each role, so
	// that a load need not wait for an eviction; 0 keeps none.
	ReserveBytes int64
	// The rates at which a checkpoint is read from each tier, in bytes a second.
	MemoryBytesPerSecond int64
	DiskBytesPerSecond   int64
	StoreBytesPerSecond  int64
}

// DefaultSettings returns the settings for a site that names none.
func DefaultSettings() Settings {
	return Settings{
		Objective:             structs.ObjectiveLatency,
		RequestsPerReplica:    32,
		MinimumResidence:      10 * time.Second,
		MinimumKeepAlive:      5 * time.Second,
		MaximumKeepAlive:      96 * time.Hour,
		LatencyColdStartWorth: 5000,
		IdleColdStartWorth:    1,
		MemoryBytesPerSecond:  20 << 30,
		DiskBytesPerSecond:    4 << 30,
		StoreBytesPerSecond:   1 << 30,
	}
}

// Reason says why a step is planned.
type Reason string

// The reasons for a step.
const (
	// ReasonMinimum: the row has fewer replicas than it is to keep.
	ReasonMinimum Reason = "minimum"
	// ReasonDemand: requests wait for the row.
	ReasonDemand Reason = "demand"
	// ReasonBase: an adapter that is wanted needs the row.
	ReasonBase Reason = "base"
	// ReasonReplace: the row's replica is on a runner that is leaving.
	ReasonReplace Reason = "replace"
	// ReasonSurplus: the row has more replicas than its limit, or was deleted.
	ReasonSurplus Reason = "surplus"
	// ReasonLeaving: the runner is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonIdle: the row was not used for longer than it is kept.
	ReasonIdle Reason = "idle"
	// ReasonPrewarm: the row is likely to be used soon.
	ReasonPrewarm Reason = "prewarm"
	// ReasonReserve: room is made for the next load.
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

// PrefetchDecision is a checkpoint to copy to a runner's disk, because the row
// waits for memory there.
type PrefetchDecision struct {
	Row    structs.RowName
	Runner structs.RunnerID
}

// RowWanted says how many replicas a row could use here, whatever its grant.
type RowWanted struct {
	Row      structs.RowName
	Replicas int
}

// PlanResult is what to do next. Loads and unloads are ordered by urgency.
type PlanResult struct {
	Loads      []LoadDecision
	Unloads    []UnloadDecision
	Prefetches []PrefetchDecision
	// Wanted has an entry for each row that is or should be loaded, ordered by row.
	Wanted []RowWanted
}
