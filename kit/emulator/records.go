package emulator

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Execution is the record that an engine ran (a part of) a request.
type Execution struct {
	ID          structs.RequestID
	Row         structs.RowName
	PromptHash  uint64
	Incarnation structs.Incarnation
	// ResumeFrom is the index of the first token wanted: 0 means from the start.
	ResumeFrom int
	// Emitted counts the tokens produced.
	Emitted int
	// ArrivedAt is when the engine took the request, StartedAt when it began to run.
	ArrivedAt time.Time
	StartedAt time.Time
	// EndedAt is zero while the request runs.
	EndedAt time.Time
	Finish  structs.FinishReason
	// Cached counts the prompt tokens that needed no prefill.
	Cached int
}

// ReplicaChange is the record that a replica changed its state on the engine.
type ReplicaChange struct {
	At    time.Time
	Row   structs.RowName
	State structs.ReplicaState
	// MemoryUsed is the memory of all replicas after the change.
	MemoryUsed int64
}

// OrderRefusal is the record of a refused order.
type OrderRefusal struct {
	At     time.Time
	Order  structs.Order
	Reason string
}

// Violation is the record of an order that would have broken an invariant had
// the engine carried it out.
type Violation struct {
	At     time.Time
	Order  structs.Order
	Detail string
}

// Records are what an engine really did over all its lives, for checkers. They
// are not what it reports.
type Records struct {
	// Executions are in the order of their start.
	Executions     []*Execution
	ReplicaChanges []ReplicaChange
	RefusedOrders  []OrderRefusal
	Violations     []Violation
	// Dropped counts the entries of these lists dropped by RecordLimit. A checker
	// that needs all of them must see 0 here.
	Dropped        int
	AcceptedOrders int
	// PeakMemory and PeakKV are the highest uses of memory in bytes.
	PeakMemory int64
	PeakKV     int64
	// IdleAccelerator is accelerator time: the number of accelerators times the
	// share of their memory that held weights without a running request.
	IdleAccelerator time.Duration
	// Tokens counts all tokens produced.
	Tokens uint64
	// Lives counts the incarnations.
	Lives int
}

// ByRequest returns the executions of each request ID, in the order of their start.
func (r *Records) ByRequest() map[structs.RequestID][]*Execution {
	byRequest := make(map[structs.RequestID][]*Execution, len(r.Executions))
	for _, execution := range r.Executions {
		byRequest[execution.ID] = append(byRequest[execution.ID], execution)
	}
	return byRequest
}

// ByPrompt returns the executions of each PromptHash, in the order of their start.
func (r *Records) ByPrompt() map[uint64][]*Execution {
	byPrompt := make(map[uint64][]*Execution, len(r.Executions))
	for _, execution := range r.Executions {
		byPrompt[execution.PromptHash] = append(byPrompt[execution.PromptHash], execution)
	}
	return byPrompt
}

// appendLimited appends an item. When limit is positive and reached, the older
// half is dropped first and counted.
func appendLimited[T any](list []T, item T, limit int, dropped *int) []T {
	if limit > 0 && len(list) >= limit {
		kept := copy(list, list[len(list)-limit/2:])
		*dropped += len(list) - kept
		clear(list[kept:])
		list = list[:kept]
	}
	return append(list, item)
}

// Clone returns a copy that does not change with the engine.
func (r *Records) Clone() Records {
	copied := *r
	copied.Executions = make([]*Execution, 0, len(r.Executions))
	for _, execution := range r.Executions {
		held := *execution
		copied.Executions = append(copied.Executions, &held)
	}
	copied.ReplicaChanges = slices.Clone(r.ReplicaChanges)
	copied.RefusedOrders = slices.Clone(r.RefusedOrders)
	copied.Violations = slices.Clone(r.Violations)
	return copied
}
