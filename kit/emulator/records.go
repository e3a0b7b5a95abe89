package emulator

import (
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Execution records the execution of a request, or of a part of it.
type Execution struct {
	ID          structs.RequestID
	Row         structs.RowName
	PromptHash  uint64
	Incarnation structs.Incarnation
	// ResumeFrom is the index of the first requested token; 0 means a complete
	// execution.
	ResumeFrom int
	// Emitted is the number of generated tokens.
	Emitted int
	// ArrivedAt is the time at which the engine accepted the request, StartedAt the time
	// at which it entered the batch.
	ArrivedAt time.Time
	StartedAt time.Time
	// EndedAt is zero while the request runs.
	EndedAt time.Time
	Finish  structs.FinishReason
	// Cached is the number of prompt tokens that needed no prefill.
	Cached int
}

// ReplicaChange records a state change of a replica.
type ReplicaChange struct {
	At    time.Time
	Row   structs.RowName
	State structs.ReplicaState
	// MemoryUsed is the memory of all replicas after the change, in bytes.
	MemoryUsed int64
}

// OrderRefusal records a refused order.
type OrderRefusal struct {
	At     time.Time
	Order  structs.Order
	Reason string
}

// Violation records an order that was refused because it would have violated an
// invariant.
type Violation struct {
	At     time.Time
	Order  structs.Order
	Detail string
}

// Records hold the actual behaviour of an engine over all its incarnations, for
// checkers. They are independent of its reports.
type Records struct {
	// Executions are in order of their start.
	Executions     []*Execution
	ReplicaChanges []ReplicaChange
	RefusedOrders  []OrderRefusal
	Violations     []Violation
	// Dropped is the number of entries dropped because of RecordLimit. A checker that
	// needs complete records must check that it is 0.
	Dropped        int
	AcceptedOrders int
	// PeakMemory and PeakKV are the peak memory uses in bytes.
	PeakMemory int64
	PeakKV     int64
	// IdleAccelerator is the accumulated idle time: the number of accelerators times the
	// fraction of their memory that holds weights without a running request.
	IdleAccelerator time.Duration
	// Tokens is the number of generated tokens.
	Tokens uint64
	// Lives is the number of incarnations.
	Lives int
}

// ByRequest returns the executions by request ID, in order of their start.
func (r *Records) ByRequest() map[structs.RequestID][]*Execution {
	byRequest := make(map[structs.RequestID][]*Execution, len(r.Executions))
	for _, execution := range r.Executions {
		byRequest[execution.ID] = append(byRequest[execution.ID], execution)
	}
	return byRequest
}

// ByPrompt returns the executions by PromptHash, in order of their start.
func (r *Records) ByPrompt() map[uint64][]*Execution {
	byPrompt := make(map[uint64][]*Execution, len(r.Executions))
	for _, execution := range r.Executions {
		byPrompt[execution.PromptHash] = append(byPrompt[execution.PromptHash], execution)
	}
	return byPrompt
}

// appendLimited appends an item. At a positive limit it first drops the older half of
// the list and adds its length to dropped.
func appendLimited[T any](list []T, item T, limit int, dropped *int) []T {
	if limit > 0 && len(list) >= limit {
		kept := copy(list, list[len(list)-limit/2:])
		*dropped += len(list) - kept
		clear(list[kept:])
		list = list[:kept]
	}
	return append(list, item)
}

// Clone returns a deep copy.
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
