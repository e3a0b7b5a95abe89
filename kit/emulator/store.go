package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/engineapi"
)

// StoreOptions configure a weight store. A zero field means the default in brackets.
type StoreOptions struct {
	// LoadsPerSecond is the rate at which reads are admitted (2).
	LoadsPerSecond float64
	// FullSpeed is the number of concurrent reads that run at full speed (8); further
	// reads share the same total bandwidth. It is also the burst size of the admission
	// rate.
	FullSpeed int
	// BytesPerSecond is the bandwidth of one read at full speed (4 GB/s).
	BytesPerSecond float64
	// Random is the source of randomness; nil means a source with a fixed seed.
	Random *rand.Rand
	Faults StoreFaults
}

// StoreFaults are the faults that can be injected at run time.
type StoreFaults struct {
	// SlowFactor multiplies the duration of reads; 0 and 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailRate is the fraction of reads that fail on completion, 0 to 1.
	FailRate float64 `json:"fail_rate,omitempty"`
}

const (
	defaultLoadsPerSecond = 2
	defaultFullSpeed      = 8
	defaultStoreSpeed     = 4 << 30
	// remainderTolerance is the remainder in bytes, due to rounding, at which a read
	// counts as complete.
	remainderTolerance = 0.5
)

// StoreOutput is the completion of a read.
type StoreOutput struct {
	Call   CallID
	Failed bool
	Reply  engineapi.FetchReply
}

// Store is a rate-limited weight store in virtual time. It is not safe for
// concurrent use. Times passed to its methods must not go backwards.
type Store struct {
	options  StoreOptions
	faults   StoreFaults
	now      time.Time
	active   []*read
	waiting  []*read
	tokens   float64
	finished uint64
}

type read struct {
	call        CallID
	request     engineapi.FetchRequest
	requestedAt time.Time
	remaining   float64
}

// NewStore returns a store without reads.
func NewStore(options StoreOptions) *Store {
	option.Default(&options.LoadsPerSecond, defaultLoadsPerSecond)
	option.Default(&options.FullSpeed, defaultFullSpeed)
	option.Default(&options.BytesPerSecond, defaultStoreSpeed)
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(2, 2))
	}
	return &Store{options: options, faults: options.Faults, tokens: float64(options.FullSpeed)}
}

// Fetch starts a read. Advance returns its completion under the same call.
func (s *Store) Fetch(now time.Time, call CallID, request engineapi.FetchRequest) []StoreOutput {
	outputs := s.Advance(now)
	s.waiting = append(s.waiting, &read{call: call, request: request, requestedAt: now, remaining: float64(request.SizeBytes)})
	s.admit()
	return outputs
}

// Cancel aborts a read whose caller has disconnected.
func (s *Store) Cancel(now time.Time, call CallID) []StoreOutput {
	outputs := s.Advance(now)
	same := func(other *read) bool { return other.call == call }
	s.active = slices.DeleteFunc(s.active, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	return outputs
}

// SetFaults replaces the injected faults from now on.
func (s *Store) SetFaults(now time.Time, faults StoreFaults) []StoreOutput {
	outputs := s.Advance(now)
	s.faults = faults
	return outputs
}

func (s *Store) State() engineapi.StoreState {
	return engineapi.StoreState{
		Active:         len(s.active),
		Waiting:        len(s.waiting),
		FullSpeed:      s.options.FullSpeed,
		LoadsPerSecond: s.options.LoadsPerSecond,
		Finished:       s.finished,
	}
}

// NextEvent returns the time at which Advance must be called next, and false if no event
// is scheduled.
func (s *Store) NextEvent() (time.Time, bool) {
	wait := time.Duration(-1)
	if len(s.waiting) > 0 {
		wait = seconds((1 - s.tokens) / s.options.LoadsPerSecond)
	}
	speed := s.speed()
	for _, current := range s.active {
		rest := seconds(current.remaining / speed)
		if wait < 0 || rest < wait {
			wait = rest
		}
	}
	return s.now.Add(wait), wait >= 0
}

// seconds converts a number of seconds to a duration, rounded up to at least 1 ns so
// that virtual time progresses.
func seconds(value float64) time.Duration {
	return max(time.Duration(value*float64(time.Second))+1, 1)
}

// speed returns the bandwidth of each active read in bytes per second.
func (s *Store) speed() float64 {
	speed := s.options.BytesPerSecond
	if over := float64(len(s.active)) / float64(s.options.FullSpeed); over > 1 {
		speed /= over
	}
	if s.faults.SlowFactor > 0 {
		speed /= s.faults.SlowFactor
	}
	return speed
}

// Advance processes all events up to now and returns the completed reads.
func (s *Store) Advance(now time.Time) []StoreOutput {
	if s.now.IsZero() {
		s.now = now
	}
	var outputs []StoreOutput
	for {
		at, found := s.NextEvent()
		if !found || at.After(now) {
			break
		}
		s.progress(at)
		outputs = s.removeCompleted(outputs)
		s.admit()
	}
	s.progress(now)
	return outputs
}

// progress advances the active reads and refills the admission tokens until at.
func (s *Store) progress(at time.Time) {
	passed := at.Sub(s.now).Seconds()
	if passed <= 0 {
		return
	}
	speed := s.speed()
	for _, current := range s.active {
		current.remaining -= passed * speed
	}
	s.tokens = min(s.tokens+passed*s.options.LoadsPerSecond, float64(s.options.FullSpeed))
	s.now = at
}

// admit starts waiting reads while admission tokens are available.
func (s *Store) admit() {
	for len(s.waiting) > 0 && s.tokens >= 1 {
		s.tokens--
		s.active = append(s.active, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// removeCompleted removes the completed reads and appends their outputs.
func (s *Store) removeCompleted(outputs []StoreOutput) []StoreOutput {
	kept := s.active[:0]
	for _, current := range s.active {
		if current.remaining > remainderTolerance {
			kept = append(kept, current)
			continue
		}
		s.finished++
		failed := s.faults.FailRate > 0 && s.options.Random.Float64() < s.faults.FailRate
		reply := engineapi.FetchReply{Row: current.request.Row, SizeBytes: current.request.SizeBytes, Took: s.now.Sub(current.requestedAt)}
		outputs = append(outputs, StoreOutput{Call: current.call, Failed: failed, Reply: reply})
	}
	clear(s.active[len(kept):])
	s.active = kept
	return outputs
}
