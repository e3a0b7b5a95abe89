package structs

// RowKind is the kind of a row of the table.
type RowKind string

// The kinds of row.
const (
	// RowModel is a base model.
	RowModel RowKind = "model"
	// RowAdapter is an adapter that requires its Base loaded on the same runner.
	RowAdapter RowKind = "adapter"
	// RowVersion is another checkpoint of the model Base. It is loaded and addressed
	// like a separate model.
	RowVersion RowKind = "version"
)

// Priority orders rows and requests; higher values are served first.
type Priority int

// The priority classes.
const (
	// PriorityBatch is for work that can wait for hours.
	PriorityBatch Priority = 0
	// PriorityStandard is for ordinary work.
	PriorityStandard Priority = 1
	// PriorityLive is for work that a person or a gate waits for.
	PriorityLive Priority = 2
)

// PriorityCount is the number of priority classes.
const PriorityCount = 3

// Objective is what the planner minimizes for a row.
type Objective string

// The objectives. An empty Objective stands for the site's default.
const (
	// ObjectiveLatency gives tail cold-start latency more weight.
	ObjectiveLatency Objective = "latency"
	// ObjectiveIdle gives idle accelerator time more weight.
	ObjectiveIdle Objective = "idle"
)

// RunnerRole is the kind of work that a runner is configured for ("answers", "search").
type RunnerRole string

// Row is one row of the operators' table.
type Row struct {
	Name RowName `json:"name" yaml:"name"`
	Kind RowKind `json:"kind" yaml:"kind"`
	// Base is the model that an adapter or version belongs to; empty for models.
	Base RowName `json:"base,omitempty" yaml:"base,omitempty"`
	// Weight is the relative share of the row under contention, 1 to 1000.
	Weight   int      `json:"weight" yaml:"weight"`
	Priority Priority `json:"priority" yaml:"priority"`
	// MinReplicas are kept loaded without demand; MaxReplicas is the limit over all zones.
	MinReplicas int `json:"min_replicas" yaml:"min_replicas"`
	MaxReplicas int `json:"max_replicas" yaml:"max_replicas"`
	// MemoryBytes is the accelerator memory that one replica reserves.
	MemoryBytes int64      `json:"memory_bytes" yaml:"memory_bytes"`
	Role        RunnerRole `json:"role" yaml:"role"`
	Objective   Objective  `json:"objective,omitempty" yaml:"objective,omitempty"`
	// Revision is the table revision of the row's last change, set by the table.
	Revision uint64 `json:"revision" yaml:"revision"`
}

// NeedsBase reports whether a replica of the row requires its base on the same runner.
func (r Row) NeedsBase() bool { return r.Kind == RowAdapter }
