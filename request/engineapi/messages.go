package engineapi

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// CancelRequest stops a request and makes the engine refuse its ID from then on.
type CancelRequest struct {
	ID structs.RequestID `json:"id"`
}

// CacheEventKind tells what happened to prefix blocks.
type CacheEventKind string

// The kinds of cache event.
const (
	// CacheStored: the blocks are now in the prefix cache.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted: the blocks are no longer in the prefix cache.
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared: no block of the row is in the prefix cache.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Sequences rise by one;
// a missing number is an event that was lost.
type CacheEvent struct {
	Sequence uint64          `json:"sequence"`
	Kind     CacheEventKind  `json:"kind"`
	Row      structs.RowName `json:"row"`
	// Blocks are keys as PromptBlocks makes them.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// EventPage is the answer to a read of cache events.
type EventPage struct {
	Incarnation structs.Incarnation `json:"incarnation"`
	// Oldest is the lowest sequence that the engine still keeps; 0 when none.
	Oldest uint64 `json:"oldest"`
	// Next is what to pass as after in the next read.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// ExportRequest asks for the KV cache of a request.
type ExportRequest struct {
	ID  structs.RequestID `json:"id"`
	Row structs.RowName   `json:"row"`
}

// KVCache is the exported KV cache of one request. Another engine that imports it
// resumes the request without prefill.
type KVCache struct {
	ID  structs.RequestID `json:"id"`
	Row structs.RowName   `json:"row"`
	// Tokens is how many tokens of prompt and answer the cache covers.
	Tokens int `json:"tokens"`
	// Generated is how many of them belong to the answer.
	Generated int `json:"generated"`
	// Blocks are the keys of the covered blocks.
	Blocks []uint64 `json:"blocks"`
	// SizeBytes is the size of the cache in accelerator memory.
	SizeBytes int64 `json:"size_bytes"`
}

// ImportReply says how many tokens the importing engine now holds.
type ImportReply struct {
	Tokens int `json:"tokens"`
}

// EmbeddingsRequest asks for one vector for each input.
type EmbeddingsRequest struct {
	ID     structs.RequestID `json:"id"`
	Row    structs.RowName   `json:"row"`
	Inputs []string          `json:"inputs"`
	// Incarnation, when set, must be the engine's own.
	Incarnation structs.Incarnation `json:"incarnation,omitempty"`
}

// EmbeddingsReply holds one vector for each input, in the order of the inputs.
type EmbeddingsReply struct {
	ID      structs.RequestID `json:"id"`
	Vectors [][]float32       `json:"vectors"`
}

// FetchRequest asks the weight store for a checkpoint.
type FetchRequest struct {
	Row structs.RowName `json:"row"`
	// SizeBytes is the size of the checkpoint.
	SizeBytes int64            `json:"size_bytes"`
	Runner    structs.RunnerID `json:"runner"`
}

// FetchReply is sent once the whole checkpoint has been read.
type FetchReply struct {
	Row       structs.RowName `json:"row"`
	SizeBytes int64           `json:"size_bytes"`
	// Took is how long the read took in the store, in nanoseconds.
	Took time.Duration `json:"took"`
}

// StoreState is the weight store's state.
type StoreState struct {
	// Active counts the reads under way; Waiting those not yet admitted by the rate.
	Active  int `json:"active"`
	Waiting int `json:"waiting"`
	// FullSpeed is how many reads may be under way before all slow down.
	FullSpeed int `json:"full_speed"`
	// LoadsPerSecond is the rate at which reads are admitted.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// Finished counts the reads since the store started.
	Finished uint64 `json:"finished"`
}

// MachineChanges is what changed on the machine list after a version.
type MachineChanges struct {
	// Version is what to pass as since in the next read.
	Version string `json:"version"`
	// Full says that Machines is the whole list: the version that was asked for is
	// unknown or too old.
	Full     bool              `json:"full,omitempty"`
	Machines []structs.Machine `json:"machines,omitempty"`
	// Gone are the machines that are no longer on the list, or not in the zone.
	Gone []structs.RunnerID `json:"gone,omitempty"`
}

// LeaveRequest marks a machine as leaving on the machine list.
type LeaveRequest struct {
	Runner structs.RunnerID `json:"runner"`
	// Gone removes the machine from the list instead.
	Gone bool `json:"gone,omitempty"`
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Kind    structs.ErrorKind `json:"kind"`
	Message string            `json:"message"`
	Remedy  string            `json:"remedy,omitempty"`
	// RetryAfter is in nanoseconds.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// NewErrorBody makes the body that carries err.
func NewErrorBody(err structs.Error) ErrorBody {
	return ErrorBody{Kind: err.Kind, Message: err.Message, Remedy: err.Remedy, RetryAfter: err.RetryAfter}
}

// Err returns the error that the body carries.
func (b ErrorBody) Err() *structs.Error {
	return &structs.Error{Kind: b.Kind, Message: b.Message, Remedy: b.Remedy, RetryAfter: b.RetryAfter}
}
