package structs

// RowKind tells what a row of the table describes.
type RowKind string

// The kinds of row.
const (
	// RowModel is a base model.
	RowModel RowKind = "model"
	// RowAdapter is an adapter that needs its Base loaded on the same runner.
	RowAdapter RowKind = "adapter"
	// RowVersion is another checkpoint of the model named by Base; it is loaded
	// and addressed like a model of its own.
	RowVersion RowKind = "version"
)

// Priority orders rows and requests: a higher value is served first.
type Priority int

// The priority classes.
const (
	// PriorityBatch is work that can wait for hours.
	PriorityBatch Priority = 0
	// PriorityStandard is ordinary work.
	PriorityStandard Priority = 1
	// PriorityLive is work that a person or a gate is waiting for.
	PriorityLive Priority = 2
)

// PriorityCount is the number of priority classes.
const PriorityCount = 3

// Objective says what the planner minimises for a row.
type Objective string

// The objectives. An empty Objective means the site's default.
const (
	// ObjectiveLatency weighs tail cold-start time more.
	ObjectiveLatency Objective = "latency"
	// ObjectiveIdle weighs idle accelerator hours more.
	ObjectiveIdle Objective = "idle"
)

// RunnerRole names the kind of work a runner is set up for ("answers", "search").
type RunnerRole string

// Row is one row of the operators' table.
type Row struct {
	Name RowName `json:"name" yaml:"name"`
	Kind RowKind `json:"kind" yaml:"kind"`
	// Base is the model that an adapter or version belongs to; empty for models.
	Base RowName `json:"base,omitempty" yaml:"base,omitempty"`
	// Weight is the row's share when rows compete, 1 to 1000.
	Weight   int      `json:"weight" yaml:"weight"`
	Priority Priority `json:"priority" yaml:"priority"`
	// MinReplicas are kept loaded without demand; MaxReplicas is the limit over all zones.
	MinReplicas int `json:"min_replicas" yaml:"min_replicas"`
	MaxReplicas int `json:"max_replicas" yaml:"max_replicas"`
	// MemoryBytes is the accelerator memory that one replica reserves.
	MemoryBytes int64      `json:"memory_bytes" yaml:"memory_bytes"`
	Role        RunnerRole `json:"role" yaml:"role"`
	Objective   Objective  `json:"objective,omitempty" yaml:"objective,omitempty"`
	// Revision is the table revision of the row's last change; the table sets it.
	Revision uint64 `json:"revision" yaml:"revision"`
}

// NeedsBase reports whether a replica of the row needs its base on the same runner.
func (r Row) NeedsBase() bool { return r.Kind == RowAdapter }
