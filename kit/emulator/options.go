package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// EngineOptions configure an engine. A zero field means the default in brackets, if
// there is one.
type EngineOptions struct {
	Runner  structs.RunnerID
	Zone    structs.ZoneID
	Address string
	Role    structs.RunnerRole
	// MemoryBytes is the memory for weights of all accelerators together.
	MemoryBytes  int64
	Accelerators int
	// Incarnation is the initial incarnation (1).
	Incarnation structs.Incarnation

	// MaxBatch is the maximum number of running requests (32).
	MaxBatch int
	// MaxQueue is the maximum number of waiting requests; further ones are refused
	// (1024).
	MaxQueue int
	// KVBytes is the accelerator memory for the KV cache (8 GB). Each token takes
	// KVBytesPerToken (128 kB).
	KVBytes         int64
	KVBytesPerToken int64

	// A step takes DecodeBase (12 ms), DecodePerSequence (400 µs) for each running
	// request, and PrefillPerToken (60 µs) for each of at most PrefillChunk (2048)
	// prompt tokens.
	DecodeBase        time.Duration
	DecodePerSequence time.Duration
	PrefillPerToken   time.Duration
	PrefillChunk      int

	// HostMemoryBytes and DiskBytes are the sizes of the checkpoint cache tiers.
	HostMemoryBytes int64
	DiskBytes       int64
	// A load takes LoadBase (200 ms) and the transfer time at MemorySpeed (20 GB/s) or
	// DiskSpeed (4 GB/s). A checkpoint in the weight store is first fetched, and then
	// loaded as from memory.
	LoadBase    time.Duration
	MemorySpeed int64
	DiskSpeed   int64
	// UnloadTime is the time from the end of the last request until the memory is freed
	// (50 ms).
	UnloadTime time.Duration
	// KVSpeed is the bandwidth of KV cache exports and imports (10 GB/s).
	KVSpeed int64

	// ReportLag is the interval at which the report is refreshed; 0 means always
	// current.
	ReportLag time.Duration
	// EventLag is the delay of cache events, and EventLossRate (0 to 1) the fraction
	// that is lost.
	EventLag      time.Duration
	EventLossRate float64
	// IDRetention is how long the IDs of ended requests are retained
	// (engineapi.IDRetention).
	IDRetention time.Duration
	// RecordLimit limits the length of each list of the records; 0 means no limit.
	RecordLimit int

	// Random is the source of randomness; nil means a source with a fixed seed.
	Random *rand.Rand
	Faults EngineFaults
	// FetchTime, if set, replaces the weight store: it returns the duration of a fetch
	// and whether it succeeds. If nil, the engine emits OutputFetch and waits for
	// InputFetched.
	FetchTime func(row structs.RowName, sizeBytes int64) (time.Duration, bool)
}

const (
	defaultMaxBatch          = 32
	defaultMaxQueue          = 1024
	defaultKVBytes           = 8 << 30
	defaultKVBytesPerToken   = 128 << 10
	defaultDecodeBase        = 12 * time.Millisecond
	defaultDecodePerSequence = 400 * time.Microsecond
	defaultPrefillPerToken   = 60 * time.Microsecond
	defaultPrefillChunk      = 2048
	defaultLoadBase          = 200 * time.Millisecond
	defaultMemorySpeed       = 20 << 30
	defaultDiskSpeed         = 4 << 30
	defaultUnloadTime        = 50 * time.Millisecond
	defaultKVSpeed           = 10 << 30
)

func (o EngineOptions) withDefaults() EngineOptions {
	option.Default(&o.Accelerators, 1)
	option.Default(&o.Incarnation, 1)
	option.Default(&o.MaxBatch, defaultMaxBatch)
	option.Default(&o.MaxQueue, defaultMaxQueue)
	option.Default(&o.KVBytes, defaultKVBytes)
	option.Default(&o.KVBytesPerToken, defaultKVBytesPerToken)
	option.Default(&o.DecodeBase, defaultDecodeBase)
	option.Default(&o.DecodePerSequence, defaultDecodePerSequence)
	option.Default(&o.PrefillPerToken, defaultPrefillPerToken)
	option.Default(&o.PrefillChunk, defaultPrefillChunk)
	option.Default(&o.LoadBase, defaultLoadBase)
	option.Default(&o.MemorySpeed, defaultMemorySpeed)
	option.Default(&o.DiskSpeed, defaultDiskSpeed)
	option.Default(&o.UnloadTime, defaultUnloadTime)
	option.Default(&o.KVSpeed, defaultKVSpeed)
	option.Default(&o.IDRetention, engineapi.IDRetention)
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, uint64(o.Incarnation)))
	}
	return o
}

// EngineFaults are faults that can be injected at run time with SetFaults. Rates range
// from 0 to 1.
type EngineFaults struct {
	// DieOnLoad makes the engine crash in the middle of its next load.
	DieOnLoad bool `json:"die_on_load,omitempty"`
	// DieAfterTokens makes the engine crash after generating the given number of tokens.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// StallRate is the fraction of requests that are accepted but never run.
	StallRate float64 `json:"stall_rate,omitempty"`
	// LateRate is the fraction of tokens that are delayed by LateBy and may arrive out
	// of order.
	LateRate float64       `json:"late_rate,omitempty"`
	LateBy   time.Duration `json:"late_by,omitempty"`
	// RepeatRate is the fraction of tokens sent twice.
	RepeatRate float64 `json:"repeat_rate,omitempty"`
	// LossRate is the fraction of tokens that are never sent.
	LossRate float64 `json:"loss_rate,omitempty"`
	// CrossRate is the fraction of tokens that are also sent on the stream of another
	// request.
	CrossRate float64 `json:"cross_rate,omitempty"`
	// ResetRate is the fraction of tokens at which the connection is reset.
	ResetRate float64 `json:"reset_rate,omitempty"`
	// HideLoad makes reports show no running or queued requests.
	HideLoad bool `json:"hide_load,omitempty"`
	// SlowFactor multiplies the duration of steps and loads; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

func (f EngineFaults) slow(duration time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return duration
	}
	return time.Duration(float64(duration) * f.SlowFactor)
}
