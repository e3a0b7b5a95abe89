package config

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Role is a function of a daemon.
type Role string

// The roles of a daemon.
const (
	// RoleRouter serves callers.
	RoleRouter Role = "router"
	// RoleController is a member of its zone's raft group, and of the global group
	// if it is one of the site's global voters.
	RoleController Role = "controller"
)

// Config is the settings of one daemon.
type Config struct {
	// Daemon and Zone identify this process.
	Daemon structs.DaemonID `yaml:"daemon"`
	Zone   structs.ZoneID   `yaml:"zone"`
	// DataFolder holds all files of the daemon. It must exist.
	DataFolder string `yaml:"data_folder"`
	// Development disables TLS and API keys. All addresses must then be loopback.
	Development bool `yaml:"development"`
	// Bootstrap lets the first listed member of a group create the group after all
	// other listed members have replied that they belong to none.
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

// Listen holds the listen addresses (IP:port) of the daemon. An empty address
// disables that listener. Port 0 selects a free port.
type Listen struct {
	// Callers is for the OpenAI-compatible API.
	Callers string `yaml:"callers"`
	// Operators is for lotusferryctl, health and metrics.
	Operators string `yaml:"operators"`
	// Internal is for other daemons.
	Internal string `yaml:"internal"`
}

// Site describes the whole site. It must be the same in the settings of all daemons.
type Site struct {
	Name string `yaml:"name"`
	// Objective is the default for rows without one.
	Objective structs.Objective `yaml:"objective"`
	Zones     []Zone            `yaml:"zones"`
	// GlobalVoters are the initial voters of the global group. Each is a controller
	// of a zone.
	GlobalVoters []Member `yaml:"global_voters"`
	// MachineList is the platform's URL, http://IP:PORT. The weight store has no
	// setting because only engines call it.
	MachineList string `yaml:"machine_list"`
	// StoreConcurrent is the maximum number of concurrent loads from the weight store
	// in the whole site.
	StoreConcurrent int `yaml:"store_concurrent"`
	// Planner sets the tradeoff between cold starts, idle time and memory.
	Planner Planner `yaml:"planner"`
}

// Zone describes one zone of the site.
type Zone struct {
	ID structs.ZoneID `yaml:"id"`
	// Weight is the zone's share of the replica limits and of the weight store, 1 to 1000.
	Weight int `yaml:"weight"`
	// Controllers are the initial voters of the zone group.
	Controllers []Member `yaml:"controllers"`
	// Routers are the addresses to which other zones forward requests.
	Routers []string `yaml:"routers"`
}

// Member is a voter of a group. Its node ID is not a setting: each store generates
// one at creation, so that a replaced disk never votes under its former ID.
type Member struct {
	Daemon structs.DaemonID `yaml:"daemon"`
	// Address is the internal address (IP:port) at which other daemons reach it.
	Address string `yaml:"address"`
	// Standby members vote and store the log, but lead only while no other voter can.
	// Routers with a disk may be standbys where control machines are few.
	Standby bool `yaml:"standby"`
}

// TLS holds the paths of the PEM files for mutual TLS. Changed files are reloaded.
type TLS struct {
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// OperatorKey is the API key of an operator. Hash is printed by
// `lotusferryctl keys operator`.
type OperatorKey struct {
	Name string `yaml:"name"`
	Hash string `yaml:"hash"`
}

// CallerKey is the API key of a calling application.
type CallerKey struct {
	Name string `yaml:"name"`
	Hash string `yaml:"hash"`
	// Priority is the highest priority class that the caller may request: "batch",
	// "standard" or "live". Empty means live.
	Priority string `yaml:"priority"`
}

// HighestPriority returns the highest priority class that the caller may request.
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
	// ElectionTicks is the election timeout in ticks.
	ElectionTicks int `yaml:"election_ticks"`
	// HeartbeatTicks is the heartbeat interval of a leader in ticks.
	HeartbeatTicks int `yaml:"heartbeat_ticks"`
	// ReportInterval is the interval between demand reports of a router and between
	// reads of an engine's report.
	ReportInterval time.Duration `yaml:"report_interval"`
	// MachineListInterval is the interval between reads of the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval"`
	// PlanInterval is the interval between plans of a zone leader.
	PlanInterval time.Duration `yaml:"plan_interval"`
	// StopTimeout is the time that a graceful shutdown gives requests in progress.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// Limits bounds what the daemon accepts and stores.
type Limits struct {
	// QueuePerRow is the maximum number of queued requests per row and router.
	QueuePerRow int `yaml:"queue_per_row"`
	// CallerTokensPerMinute limits the prompt and completion tokens of one caller per
	// row and router, RowTokensPerMinute those of all callers together. 0 means no
	// limit. The burst size is one minute's tokens.
	CallerTokensPerMinute int `yaml:"caller_tokens_per_minute"`
	RowTokensPerMinute    int `yaml:"row_tokens_per_minute"`
	// BodyBytes bounds the body of a caller's request.
	BodyBytes int64 `yaml:"body_bytes"`
	// OperatorBodyBytes bounds the body of an operator's request.
	OperatorBodyBytes int64 `yaml:"operator_body_bytes"`
	// DefaultDeadline applies to requests without a deadline. MaximumDeadline bounds
	// the deadline of a request.
	DefaultDeadline time.Duration `yaml:"default_deadline"`
	MaximumDeadline time.Duration `yaml:"maximum_deadline"`
	// ClaimRetention is how long an idempotency key stays claimed after its request
	// has ended, and the maximum time that its response is stored.
	ClaimRetention time.Duration `yaml:"claim_retention"`
	// AnswerBytes bounds the stored responses of a router to requests with
	// idempotency keys.
	AnswerBytes int64 `yaml:"answer_bytes"`
	// AnswersInMemory stores them in memory, at most 32 MiB, for routers without a
	// disk.
	AnswersInMemory bool `yaml:"answers_in_memory"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
	// Format is "logfmt" or "json".
	Format string `yaml:"format"`
}

// Default returns the default settings.
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

// HasRole reports whether the daemon has the role.
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

// ZoneIDs returns the zones of the site in the order of the settings.
func (s Site) ZoneIDs() []structs.ZoneID {
	ids := make([]structs.ZoneID, 0, len(s.Zones))
	for _, zone := range s.Zones {
		ids = append(ids, zone.ID)
	}
	return ids
}
