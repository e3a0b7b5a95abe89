package structs

// Epoch numbers the reigns of zone leaders: it is the term of the zone group.
type Epoch uint64

// OrderNumber numbers the orders of a zone group. It comes from the zone log, so
// it never repeats.
type OrderNumber uint64

// Fence is the pair that orders all orders of a zone: first by epoch, then by number.
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

// OrderKind tells what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	// OrderRole changes the runner's role; the runner must hold no replica.
	OrderRole OrderKind = "role"
	// OrderPrefetch copies a checkpoint into a cache tier without loading it.
	OrderPrefetch OrderKind = "prefetch"
)

// Order is a fenced order to an engine. The engine accepts it only when its
// Fence is newer than every order it accepted before (a resend of the last
// accepted one is answered again) and Incarnation is its own.
type Order struct {
	Fence       Fence       `json:"fence"`
	Kind        OrderKind   `json:"kind"`
	Runner      RunnerID    `json:"runner"`
	Incarnation Incarnation `json:"incarnation"`
	Row         RowName     `json:"row,omitempty"`
	// Base is the model an adapter needs on the runner.
	Base        RowName    `json:"base,omitempty"`
	MemoryBytes int64      `json:"memory_bytes,omitempty"`
	Role        RunnerRole `json:"role,omitempty"`
	Tier        CacheTier  `json:"tier,omitempty"`
}

// OrderReply is the engine's answer: accepted orders go on in the background and
// show in the EngineReport.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// Fence is the newest fence the engine has accepted.
	Fence Fence `json:"fence"`
	// Incarnation is the engine's own.
	Incarnation Incarnation `json:"incarnation"`
	// Reason says why the order was refused.
	Reason string `json:"reason,omitempty"`
}
