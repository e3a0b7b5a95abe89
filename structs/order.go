package structs

// Epoch is the Raft term of a zone group.
type Epoch uint64

// OrderNumber numbers the orders of a zone group. It is an index of the zone log and
// never repeats.
type OrderNumber uint64

// Fence is the fencing token of an order. Tokens are ordered by epoch, then by number.
type Fence struct {
	Epoch  Epoch       `json:"epoch"`
	Number OrderNumber `json:"number"`
}

// Before reports whether f is older than other.
func (f Fence) Before(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Number < other.Number
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	// OrderRole changes the runner's role; the runner must not have any replica.
	OrderRole OrderKind = "role"
	// OrderPrefetch copies a checkpoint into a cache tier without loading it.
	OrderPrefetch OrderKind = "prefetch"
)

// Order is a fenced order to an engine. The engine accepts it only if Incarnation is
// its own and Fence is newer than that of every order accepted before. A retry of the
// last accepted order gets the same reply again.
type Order struct {
	Fence       Fence       `json:"fence"`
	Kind        OrderKind   `json:"kind"`
	Runner      RunnerID    `json:"runner"`
	Incarnation Incarnation `json:"incarnation"`
	Row         RowName     `json:"row,omitempty"`
	// Base is the model that an adapter requires on the runner.
	Base        RowName    `json:"base,omitempty"`
	MemoryBytes int64      `json:"memory_bytes,omitempty"`
	Role        RunnerRole `json:"role,omitempty"`
	Tier        CacheTier  `json:"tier,omitempty"`
}

// OrderReply is the engine's reply. Accepted orders are executed in the background, with
// results in the EngineReport.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// Fence is the newest fencing token that the engine has accepted.
	Fence Fence `json:"fence"`
	// Incarnation is the engine's own.
	Incarnation Incarnation `json:"incarnation"`
	// Reason is why the order was rejected.
	Reason string `json:"reason,omitempty"`
}
