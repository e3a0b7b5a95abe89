package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// EngineOptions describe an engine. A zero field means its default, where one is
// given in brackets.
type EngineOptions struct {
	Runner  structs.RunnerID
	Zone    structs.ZoneID
	Address string
	Role    structs.RunnerRole
	// MemoryBytes is the accelerator memory for weights, all accelerators together.
	MemoryBytes  int64
	Accelerators int
	// Incarnation of the first life (1).
	Incarnation structs.Incarnation

	// MaxBatch is how many requests run at once (32).
	MaxBatch int
	// MaxQueue is how many requests wait at most; further ones are refused (1024).
	MaxQueue int
	// KVBytes is the accelerator memory for the KV cache (8 GB), of which each
	// token takes KVBytesPerToken (128 kB).
	KVBytes         int64
	KVBytesPerToken int64

	// A decode step takes DecodeBase (12 ms) and DecodePerSequence (400 µs) for
	// each running request, and PrefillPerToken (60 µs) for each of the at most
	// PrefillChunk (2048) prompt tokens of the step.
	DecodeBase        time.Duration
	DecodePerSequence time.Duration
	PrefillPerToken   time.Duration
	PrefillChunk      int

	// HostMemoryBytes and DiskBytes are the sizes of the checkpoint caches.
	HostMemoryBytes int64
	DiskBytes       int64
	// A load takes LoadBase (200 ms) and the bytes at the speed of their tier:
	// MemorySpeed (20 GB/s) or DiskSpeed (4 GB/s). A checkpoint of the store is
	// fetched first and then loaded as from memory.
	LoadBase    time.Duration
	MemorySpeed int64
	DiskSpeed   int64
	// UnloadTime passes between the last request and the freeing of memory (50 ms).
	UnloadTime time.Duration
	// KVSpeed is how fast KV caches are exported and imported (10 GB/s).
	KVSpeed int64

	// ReportLag is the interval at which the engine renews its report.
	ReportLag time.Duration
	// EventLag is how late cache events show, and EventLossRate (0 to 1) how many
	// never do.
	EventLag      time.Duration
	EventLossRate float64
	// IDRetention is how long ended request IDs are remembered (engineapi.IDRetention).
	IDRetention time.Duration
	// RecordLimit bounds each list of the records; 0 keeps all.
	RecordLimit int

	// Random is the source of all chance; nil is a source with a fixed seed.
	Random *rand.Rand
	Faults EngineFaults
	// FetchTime, when set, stands for the weight store: it returns how long a
	// fetch takes and whether it succeeds. When nil, the engine emits
	// OutputFetch and waits for InputFetched.
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

// EngineFaults are faults that can be switched at run time with SetFaults. Rates
// run from 0 to 1.
type EngineFaults struct {
	// DieOnLoad makes the engine die in the middle of its next load.
	DieOnLoad bool `json:"die_on_load,omitempty"`
	// DieAfterTokens makes the engine die once it has emitted so many more tokens.
	DieAfterTokens int `json:"die_after_tokens,omitempty"`
	// StallRate is the share of requests that are accepted and never run.
	StallRate float64 `json:"stall_rate,omitempty"`
	// LateRate is the share of tokens that come late by LateBy, after their successors.
	LateRate float64       `json:"late_rate,omitempty"`
	LateBy   time.Duration `json:"late_by,omitempty"`
	// RepeatRate is the share of tokens sent twice.
	RepeatRate float64 `json:"repeat_rate,omitempty"`
	// LossRate is the share of tokens that are never sent.
	LossRate float64 `json:"loss_rate,omitempty"`
	// CrossRate is the share of tokens sent on the stream of another request as well.
	CrossRate float64 `json:"cross_rate,omitempty"`
	// ResetRate is the share of tokens at which the connection is reset.
	ResetRate float64 `json:"reset_rate,omitempty"`
	// HideLoad makes reports say that nothing runs or waits.
	HideLoad bool `json:"hide_load,omitempty"`
	// SlowFactor multiplies the time of steps and loads; 0 and 1 mean none.
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

func (f EngineFaults) slow(duration time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return duration
	}
	return time.Duration(float64(duration) * f.SlowFactor)
}
