package simulate

import "time"

// Options configures Run.
type Options struct {
	// Scenario is one of Scenarios, alone or with one plan ("table/zone-cut") or two
	// ("table/zone-cut+second-loss"), or AllScenarios; empty means "table".
	Scenario string
	// Seed is the first seed and Seeds the number of seeds (0 means 1).
	Seed  uint64
	Seeds int
	// Mutation names a safeguard to disable, one of Mutations; empty disables none.
	Mutation string
	// Workers bounds the seeds that run concurrently (0 means GOMAXPROCS).
	Workers int
	// Faults, if not nil, replaces the planned faults of the seed.
	Faults []Fault
	// StopAfter ends the run after this many violations (0 means never). Which seeds
	// have run by then is not deterministic.
	StopAfter int
	// Sink, if set, is called with every line of the trace. It requires at most one
	// seed.
	Sink func(line string)
}

// Counts are totals over all seeds.
type Counts struct {
	Events        uint64 `json:"events"`
	Messages      uint64 `json:"messages"`
	Faults        int    `json:"faults"`
	Crashes       int    `json:"crashes"`
	Elections     int    `json:"elections"`
	EditsSent     int    `json:"edits_sent"`
	EditsAccepted int    `json:"edits_accepted"`
	EditsRefused  int    `json:"edits_refused"`
	EditsResent   int    `json:"edits_resent"`
	// CallsChecked counts the operators' calls checked for linearizability.
	CallsChecked  int `json:"calls_checked"`
	Loads         int `json:"loads"`
	Unloads       int `json:"unloads"`
	OrdersRefused int `json:"orders_refused"`
	Repairs       int `json:"repairs"`
	GrantReleases int `json:"grant_releases"`
	Converged     int `json:"converged"`
	// SlowestInForce is the longest time from an edit's acceptance until a reachable
	// zone had it in force, SlowestRejoin from the end of a cut until the zone had
	// caught up, both in the absence of other faults.
	SlowestInForce time.Duration `json:"slowest_in_force_nanoseconds"`
	SlowestRejoin  time.Duration `json:"slowest_rejoin_nanoseconds"`
	// Requests is set by the scenarios requests and site only.
	Requests RequestCounts `json:"requests,omitzero"`
}

func (c *Counts) add(other Counts) {
	c.Events += other.Events
	c.Messages += other.Messages
	c.Faults += other.Faults
	c.Crashes += other.Crashes
	c.Elections += other.Elections
	c.EditsSent += other.EditsSent
	c.EditsAccepted += other.EditsAccepted
	c.EditsRefused += other.EditsRefused
	c.EditsResent += other.EditsResent
	c.CallsChecked += other.CallsChecked
	c.Loads += other.Loads
	c.Unloads += other.Unloads
	c.OrdersRefused += other.OrdersRefused
	c.Repairs += other.Repairs
	c.GrantReleases += other.GrantReleases
	c.Converged += other.Converged
	c.SlowestInForce = max(c.SlowestInForce, other.SlowestInForce)
	c.SlowestRejoin = max(c.SlowestRejoin, other.SlowestRejoin)
	c.Requests.add(other.Requests)
}

// Violation describes a violated invariant of a seed.
type Violation struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Mutation string `json:"mutation,omitempty"`
	// Checker is the checker of the invariant.
	Checker string `json:"checker"`
	Message string `json:"message"`
	// At is the virtual time of the violation.
	At time.Duration `json:"at_nanoseconds"`
	// Faults lists the planned faults; Shrink removes those that the violation does
	// not need.
	Faults []Fault `json:"faults"`
	// Trace holds the last notable trace lines before the violation.
	Trace     []string `json:"trace"`
	TraceHash string   `json:"trace_hash"`
}

// Result is the result of Run.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Seeds    int    `json:"seeds"`
	// Runs counts the simulated runs: StopAfter may skip seeds, and AllScenarios
	// runs each seed several times.
	Runs       int         `json:"runs"`
	Mutation   string      `json:"mutation,omitempty"`
	Violations []Violation `json:"violations"`
	// TraceHash covers the traces of all runs in seed order.
	TraceHash      string  `json:"trace_hash"`
	SimulatedHours float64 `json:"simulated_hours"`
	RealSeconds    float64 `json:"real_seconds"`
	// HoursPerSecond is the simulated hours per real second.
	HoursPerSecond float64 `json:"simulated_hours_per_real_second"`
	Counts         Counts  `json:"counts"`
}

// ScenarioInfo describes a scenario.
type ScenarioInfo struct {
	Name string `json:"name"`
	// Sentence describes the faults and the invariants in one sentence.
	Sentence string `json:"sentence"`
	// Checkers lists the checkers of the scenario.
	Checkers []string `json:"checkers"`
	// Plans lists the fault plans that can be run on their own.
	Plans []PlanInfo `json:"plans,omitempty"`
}

// PlanInfo describes a fault plan of a scenario.
type PlanInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
}

// MutationInfo describes a safeguard that can be disabled to test the checkers.
type MutationInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
	// Checkers lists the checkers that may detect it; any other report is a
	// different fault.
	Checkers []string `json:"checkers"`
	// Scenario is the one that detects it soonest; register sets it if empty.
	Scenario string `json:"scenario"`
}
