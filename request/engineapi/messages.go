package engineapi

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// CancelRequest cancels a request and makes the engine refuse its ID from then on.
type CancelRequest struct {
	ID structs.RequestID `json:"id"`
}

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind string

const (
	// CacheStored means that the blocks are now in the prefix cache.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted means that the blocks are no longer in the prefix cache.
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared means that no block of the row is in the prefix cache.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of an engine's prefix cache. Sequence numbers are
// consecutive; a gap means that events were lost.
type CacheEvent struct {
	Sequence uint64          `json:"sequence"`
	Kind     CacheEventKind  `json:"kind"`
	Row      structs.RowName `json:"row"`
	// Blocks are block keys as returned by PromptBlocks.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// EventPage is the reply to a read of cache events.
type EventPage struct {
	Incarnation structs.Incarnation `json:"incarnation"`
	// Oldest is the lowest retained sequence number, or 0 if there is none.
	Oldest uint64 `json:"oldest"`
	// Next is the sequence number to pass as after in the next read.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// ExportRequest requests the KV cache of a request.
type ExportRequest struct {
	ID  structs.RequestID `json:"id"`
	Row structs.RowName   `json:"row"`
}

// KVCache is the exported KV cache of a request. An engine that imports it can resume
// the request without prefill.
type KVCache struct {
	ID  structs.RequestID `json:"id"`
	Row structs.RowName   `json:"row"`
	// Tokens is the number of prompt and answer tokens in the cache.
	Tokens int `json:"tokens"`
	// Generated is the number of answer tokens in the cache.
	Generated int `json:"generated"`
	// Blocks are the keys of the blocks in the cache.
	Blocks []uint64 `json:"blocks"`
	// SizeBytes is the size of the cache in accelerator memory.
	SizeBytes int64 `json:"size_bytes"`
}

// ImportReply is the reply to Import. Tokens is the number of tokens that the engine
// now has in its cache.
type ImportReply struct {
	Tokens int `json:"tokens"`
}

// EmbeddingsRequest requests one vector for each input.
type EmbeddingsRequest struct {
	ID     structs.RequestID `json:"id"`
	Row    structs.RowName   `json:"row"`
	Inputs []string          `json:"inputs"`
	// Incarnation, if set, must match that of the engine.
	Incarnation structs.Incarnation `json:"incarnation,omitempty"`
}

// EmbeddingsReply contains one vector for each input, in the order of the inputs.
type EmbeddingsReply struct {
	ID      structs.RequestID `json:"id"`
	Vectors [][]float32       `json:"vectors"`
}

// FetchRequest requests a checkpoint from the weight store.
type FetchRequest struct {
	Row structs.RowName `json:"row"`
	// SizeBytes is the size of the checkpoint.
	SizeBytes int64            `json:"size_bytes"`
	Runner    structs.RunnerID `json:"runner"`
}

// FetchReply is sent when the complete checkpoint has been read.
type FetchReply struct {
	Row       structs.RowName `json:"row"`
	SizeBytes int64           `json:"size_bytes"`
	// Took is the duration of the read in the store, in nanoseconds.
	Took time.Duration `json:"took"`
}

// StoreState is the state of the weight store.
type StoreState struct {
	// Active is the number of reads in progress, Waiting the number of reads waiting
	// for the rate limit.
	Active  int `json:"active"`
	Waiting int `json:"waiting"`
	// FullSpeed is the number of concurrent reads beyond which all slow down.
	FullSpeed int `json:"full_speed"`
	// LoadsPerSecond is the rate at which reads are admitted.
	LoadsPerSecond float64 `json:"loads_per_second"`
	// Finished is the number of reads finished since the store started.
	Finished uint64 `json:"finished"`
}

// MachineChanges holds the changes of the machine list since a version.
type MachineChanges struct {
	// Version is the version to pass as since in the next read.
	Version string `json:"version"`
	// Full reports that Machines is the full list, because the requested version is
	// unknown or too old.
	Full     bool              `json:"full,omitempty"`
	Machines []structs.Machine `json:"machines,omitempty"`
	// Gone lists the machines that are no longer on the list or in the zone.
	Gone []structs.RunnerID `json:"gone,omitempty"`
}

// LeaveRequest marks a machine as leaving on the machine list.
type LeaveRequest struct {
	Runner structs.RunnerID `json:"runner"`
	// Gone removes the machine from the list instead of marking it.
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

// NewErrorBody returns the response body for err.
func NewErrorBody(err structs.Error) ErrorBody {
	return ErrorBody{Kind: err.Kind, Message: err.Message, Remedy: err.Remedy, RetryAfter: err.RetryAfter}
}

// Err returns the error in the body.
func (b ErrorBody) Err() *structs.Error {
	return &structs.Error{Kind: b.Kind, Message: b.Message, Remedy: b.Remedy, RetryAfter: b.RetryAfter}
}
