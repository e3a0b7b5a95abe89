package simulate

import "time"

// Options says what Run simulates.
type Options struct {
	// Scenario is one of Scenarios, alone or with a plan ("table/zone-cut") or two
	// plans ("table/zone-cut+second-loss"), or AllScenarios; empty means "table".
	Scenario string
	// Seed is the first seed and Seeds the number of seeds (0 means 1).
	Seed  uint64
	Seeds int
	// Mutation names a safeguard to disable, one of Mutations; empty disables none.
	Mutation string
	// Workers bounds the seeds that run at once (0 means one a processor).
	Workers int
	// Faults, when not nil, replaces the faults that the seed would plan.
	Faults []Fault
	// StopAfter ends the run once so many violations were found (0 means never).
	// Which seeds have run by then depends on the machine.
	StopAfter int
	// Sink, when set, gets every line of the trace. It needs Seeds of at most 1.
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
	// CallsChecked counts the operators' calls whose history was checked for
	// linearizability.
	CallsChecked  int `json:"calls_checked"`
	Loads         int `json:"loads"`
	Unloads       int `json:"unloads"`
	OrdersRefused int `json:"orders_refused"`
	Repairs       int `json:"repairs"`
	GrantReleases int `json:"grant_releases"`
	Converged     int `json:"converged"`
	// SlowestInForce is the longest time from an edit's acceptance until a zone that
	// could be reached had it in force, and SlowestRejoin from the end of a cut until
	// the zone had caught up, both while nothing else failed.
	SlowestInForce time.Duration `json:"slowest_in_force_nanoseconds"`
	SlowestRejoin  time.Duration `json:"slowest_rejoin_nanoseconds"`
	// Requests is empty but for the scenarios requests and site.
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

// Violation says which invariant a seed broke, and how.
type Violation struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Mutation string `json:"mutation,omitempty"`
	// Checker names the invariant.
	Checker string `json:"checker"`
	Message string `json:"message"`
	// At is the virtual time of the violation.
	At time.Duration `json:"at_nanoseconds"`
	// Faults are those that were planned; Shrink drops what the violation does not need.
	Faults []Fault `json:"faults"`
	// Trace holds the last notable lines before the violation.
	Trace     []string `json:"trace"`
	TraceHash string   `json:"trace_hash"`
}

// Result is what Run found.
type Result struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	Seeds    int    `json:"seeds"`
	// Runs counts what ran: with StopAfter not all seeds do, and with AllScenarios
	// each seed runs several times.
	Runs       int         `json:"runs"`
	Mutation   string      `json:"mutation,omitempty"`
	Violations []Violation `json:"violations"`
	// TraceHash covers the traces of all runs in the order of the seeds.
	TraceHash      string  `json:"trace_hash"`
	SimulatedHours float64 `json:"simulated_hours"`
	RealSeconds    float64 `json:"real_seconds"`
	// HoursPerSecond is the number of simulated hours in each real second.
	HoursPerSecond float64 `json:"simulated_hours_per_real_second"`
	Counts         Counts  `json:"counts"`
}

// ScenarioInfo describes a scenario.
type ScenarioInfo struct {
	Name string `json:"name"`
	// Sentence says what fails and what must hold then.
	Sentence string `json:"sentence"`
	// Checkers names the invariants that are judged.
	Checkers []string `json:"checkers"`
	// Plans are what can be made to fail on its own.
	Plans []PlanInfo `json:"plans,omitempty"`
}

// PlanInfo describes a plan of faults of a scenario.
type PlanInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
}

// MutationInfo describes a safeguard that can be disabled, to show that the
// checkers would notice.
type MutationInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
	// Checkers are those that may notice; another one would mean that something
	// else than the safeguard is broken.
	Checkers []string `json:"checkers"`
	// Scenario is the one that shows it soonest; register sets it where it is empty.
	Scenario string `json:"scenario"`
}
