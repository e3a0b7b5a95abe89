package config

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Role is a part that a daemon plays.
type Role string

// The roles of a daemon.
const (
	// RoleRouter serves callers.
	RoleRouter Role = "router"
	// RoleController is a member of its zone's group, and of the global group
	// when the site names it among the global voters.
	RoleController Role = "controller"
)

// Config is the settings of one daemon.
type Config struct {
	// Daemon and Zone say who this process is.
	Daemon structs.DaemonID `yaml:"daemon"`
	Zone   structs.ZoneID   `yaml:"zone"`
	// DataFolder is where all files of the daemon live. It must exist.
	DataFolder string `yaml:"data_folder"`
	// Development turns TLS and keys off. Every address must then be a loopback one.
	Development bool `yaml:"development"`
	// Bootstrap lets the first member that the site lists for a group found it, once
	// every other listed member has answered that it belongs to no group.
	Bootstrap bool          `yaml:"bootstrap"`
	Listen    Listen        `yaml:"listen"`
	Roles     []Role        `yaml:"roles"`
	Site      Site          `yaml:"site"`
	TLS       TLS           `yaml:"tls"`
	Operators []OperatorKey `yaml:"operators"`
	Callers   []CallerKey   `yaml:"callers"`
	Timing    Timing        `yaml:"timing"`
	Limits    Limits        `yaml:"limits"`
	Log       Log           `yaml:"log"`
}

// Listen holds the addresses (IP:port) that the daemon listens on. An empty
// address means that it does not listen for that kind of peer. Port 0 takes a
// free port.
type Listen struct {
	// Callers is for the OpenAI-compatible API.
	Callers string `yaml:"callers"`
	// Operators is for lotusferryctl, health and metrics.
	Operators string `yaml:"operators"`
	// Internal is for other daemons.
	Internal string `yaml:"internal"`
}

// Site describes the whole site; it is the same in every daemon's file.
type Site struct {
	Name string `yaml:"name"`
	// Objective is used for rows that name none.
	Objective structs.Objective `yaml:"objective"`
	Zones     []Zone            `yaml:"zones"`
	// GlobalVoters are the first voters of the global group, each a controller of
	// some zone.
	GlobalVoters []Member `yaml:"global_voters"`
	// MachineList is the platform's URL, http://IP:PORT. Engines know the weight
	// store themselves; daemons never call it.
	MachineList string `yaml:"machine_list"`
	// StoreConcurrent is how many loads at once the weight store allows the whole site.
	StoreConcurrent int `yaml:"store_concurrent"`
	// Planner says how the zones' leaders weigh cold starts, idle time and memory.
	Planner Planner `yaml:"planner"`
}

// Zone is one zone of the site.
type Zone struct {
	ID structs.ZoneID `yaml:"id"`
	// Weight is the zone's share of the replica limits and of the weight store, 1 to 1000.
	Weight int `yaml:"weight"`
	// Controllers are the first voters of the zone group.
	Controllers []Member `yaml:"controllers"`
	// Routers are the callers' addresses that other zones forward requests to.
	Routers []string `yaml:"routers"`
}

// Member is a voter of a group. Its node ID is no setting: each store makes its own
// when it is created, so that a replaced disk never votes under an old identity.
type Member struct {
	Daemon structs.DaemonID `yaml:"daemon"`
	// Address is the internal address (IP:port) at which others reach the daemon.
	Address string `yaml:"address"`
	// Standby members vote and keep the log, but lead only while no other voter is fit
	// to: routers with a disk that fill up a group of few control machines.
	Standby bool `yaml:"standby"`
}

// TLS names the PEM files of mutual TLS. They are read again when they change.
type TLS struct {
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// OperatorKey lets one operator in. Hash is what `lotusferryctl keys operator` prints.
type OperatorKey struct {
	Name string `yaml:"name"`
	Hash string `yaml:"hash"`
}

// CallerKey lets one calling application in.
type CallerKey struct {
	Name string `yaml:"name"`
	Hash string `yaml:"hash"`
	// Priority is the highest class the caller may ask for: "batch", "standard"
	// or "live". Empty means live.
	Priority string `yaml:"priority"`
}

// HighestPriority returns the highest class that the caller may ask for.
func (k CallerKey) HighestPriority() structs.Priority {
	switch k.Priority {
	case "batch":
		return structs.PriorityBatch
	case "standard":
		return structs.PriorityStandard
	}
	return structs.PriorityLive
}

// Timing holds the intervals and timeouts.
type Timing struct {
	// TickInterval is the length of one raft tick.
	TickInterval time.Duration `yaml:"tick_interval"`
	// ElectionTicks without a leader start an election.
	ElectionTicks int `yaml:"election_ticks"`
	// HeartbeatTicks pass between two heartbeats of a leader.
	HeartbeatTicks int `yaml:"heartbeat_ticks"`
	// ReportInterval passes between two demand reports of a router and between
	// two reads of an engine's report.
	ReportInterval time.Duration `yaml:"report_interval"`
	// MachineListInterval passes between two reads of the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval"`
	// PlanInterval passes between two plans of a zone leader.
	PlanInterval time.Duration `yaml:"plan_interval"`
	// StopTimeout bounds a planned stop: requests in progress get this long.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// Limits bounds what the daemon takes in and keeps.
type Limits struct {
	// QueuePerRow is how many requests of one row may wait in one router.
	QueuePerRow int `yaml:"queue_per_row"`
	// CallerTokensPerMinute bounds the tokens, of prompts and answers, that one caller
	// may use of one row in one router, RowTokensPerMinute those of all callers; 0
	// bounds nothing. A minute's worth may come at once.
	CallerTokensPerMinute int `yaml:"caller_tokens_per_minute"`
	RowTokensPerMinute    int `yaml:"row_tokens_per_minute"`
	// BodyBytes bounds a caller's request.
	BodyBytes int64 `yaml:"body_bytes"`
	// OperatorBodyBytes bounds an operator's request.
	OperatorBodyBytes int64 `yaml:"operator_body_bytes"`
	// DefaultDeadline is given to a request that names none; MaximumDeadline
	// bounds what a request may name.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	MaximumDeadline time.Duration `yaml:"maximum_deadline"`
	// ClaimRetention is how long an idempotency key stays claimed after its request
	// has ended, and the longest time its answer is kept.
	ClaimRetention time.Duration `yaml:"claim_retention"`
	// AnswerBytes bounds the answers to requests with keys that a router keeps.
	AnswerBytes int64 `yaml:"answer_bytes"`
	// AnswersInMemory keeps them in memory, on a router without a disk of its own,
	// and at most 32 MiB of them.
	AnswersInMemory bool `yaml:"answers_in_memory"`
}

// Log says what is logged and how.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
	// Format is "logfmt" or "json".
	Format string `yaml:"format"`
}

// Default returns the settings that hold where the file and the flags are silent.
func Default() Config {
	return Config{
		Roles: []Role{RoleRouter, RoleController},
		Site:  Site{Objective: structs.ObjectiveLatency},
		Timing: Timing{
			TickInterval:        50 * time.Millisecond,
			ElectionTicks:       20,
			HeartbeatTicks:      4,
			ReportInterval:      500 * time.Millisecond,
			MachineListInterval: time.Second,
			PlanInterval:        250 * time.Millisecond,
			StopTimeout:         30 * time.Second,
		},
		Limits: Limits{
			QueuePerRow:       256,
			BodyBytes:         1 << 20,
			OperatorBodyBytes: 64 << 20,
			DefaultDeadline:   30 * time.Second,
			MaximumDeadline:   10 * time.Minute,
			ClaimRetention:    24 * time.Hour,
			AnswerBytes:       1 << 30,
		},
		Log: Log{Level: "info", Format: "logfmt"},
	}
}

// HasRole reports whether the daemon plays role.
func (c Config) HasRole(role Role) bool {
	for _, own := range c.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// ZoneByID returns the zone of the site with that ID.
func (s Site) ZoneByID(id structs.ZoneID) (Zone, bool) {
	for _, zone := range s.Zones {
		if zone.ID == id {
			return zone, true
		}
	}
	return Zone{}, false
}

// ZoneIDs lists the zones of the site in the file's order.
func (s Site) ZoneIDs() []structs.ZoneID {
	ids := make([]structs.ZoneID, 0, len(s.Zones))
	for _, zone := range s.Zones {
		ids = append(ids, zone.ID)
	}
	return ids
}
