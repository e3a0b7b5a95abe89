package simulate

import "time"

// Options says what Run simulates.
type Options struct {
	// Scenario is one of Scenarios; empty means "table".
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
	Loads         int    `json:"loads"`
	Unloads       int    `json:"unloads"`
	OrdersRefused int    `json:"orders_refused"`
	Repairs       int    `json:"repairs"`
	GrantReleases int    `json:"grant_releases"`
	Converged     int    `json:"converged"`
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
	c.Loads += other.Loads
	c.Unloads += other.Unloads
	c.OrdersRefused += other.OrdersRefused
	c.Repairs += other.Repairs
	c.GrantReleases += other.GrantReleases
	c.Converged += other.Converged
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
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Seeds      int         `json:"seeds"`
	Mutation   string      `json:"mutation,omitempty"`
	Violations []Violation `json:"violations"`
	// TraceHash covers the traces of all seeds in the order of the seeds.
	TraceHash      string  `json:"trace_hash"`
	SimulatedHours float64 `json:"simulated_hours"`
	RealSeconds    float64 `json:"real_seconds"`
	Counts         Counts  `json:"counts"`
}

// ScenarioInfo describes a scenario.
type ScenarioInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
}

// MutationInfo describes a safeguard that can be disabled, to show that the
// checkers would notice.
type MutationInfo struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
	Scenario string `json:"scenario"`
}
