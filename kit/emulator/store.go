package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/request/engineapi"
)

// StoreOptions describe a weight store.
type StoreOptions struct {
	// LoadsPerSecond is the rate at which reads are admitted (2).
	LoadsPerSecond float64
	// FullSpeed is how many reads may be under way at full speed (8); more of them
	// share the speed of so many. So many may be admitted in one burst, too.
	FullSpeed int
	// BytesPerSecond is the full speed of one read (4 GB/s).
	BytesPerSecond float64
	// Random is the source of all chance; nil is a source with a fixed seed.
	Random *rand.Rand
	Faults StoreFaults
}

// StoreFaults are faults that can be switched at run time.
type StoreFaults struct {
	// SlowFactor multiplies the time of reads; 0 and 1 mean none.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FailRate is the share of reads that fail at their end, 0 to 1.
	FailRate float64 `json:"fail_rate,omitempty"`
}

const (
	defaultLoadsPerSecond = 2
	defaultFullSpeed      = 8
	defaultStoreSpeed     = 4 << 30
	// restBytes is what may be left of a read by rounding when it counts as ended.
	restBytes = 0.5
)

// StoreOutput is the end of a read.
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

// read is one read of a checkpoint.
type read struct {
	call    CallID
	request engineapi.FetchRequest
	asked   time.Time
	rest    float64
}

// NewStore makes a store without reads.
func NewStore(options StoreOptions) *Store {
	option.Default(&options.LoadsPerSecond, defaultLoadsPerSecond)
	option.Default(&options.FullSpeed, defaultFullSpeed)
	option.Default(&options.BytesPerSecond, defaultStoreSpeed)
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(2, 2))
	}
	return &Store{options: options, faults: options.Faults, tokens: float64(options.FullSpeed)}
}

// Fetch begins a read; its end comes from Advance under the same call.
func (s *Store) Fetch(now time.Time, call CallID, request engineapi.FetchRequest) []StoreOutput {
	outputs := s.Advance(now)
	s.waiting = append(s.waiting, &read{call: call, request: request, asked: now, rest: float64(request.SizeBytes)})
	s.admit()
	return outputs
}

// Cancel ends a read whose caller is gone.
func (s *Store) Cancel(now time.Time, call CallID) []StoreOutput {
	outputs := s.Advance(now)
	same := func(other *read) bool { return other.call == call }
	s.active = slices.DeleteFunc(s.active, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	return outputs
}

// SetFaults replaces the faults from now on.
func (s *Store) SetFaults(now time.Time, faults StoreFaults) []StoreOutput {
	outputs := s.Advance(now)
	s.faults = faults
	return outputs
}

// State returns the store's state.
func (s *Store) State() engineapi.StoreState {
	return engineapi.StoreState{
		Active:         len(s.active),
		Waiting:        len(s.waiting),
		FullSpeed:      s.options.FullSpeed,
		LoadsPerSecond: s.options.LoadsPerSecond,
		Finished:       s.finished,
	}
}

// NextEvent returns when Advance must be called next; false means that nothing
// happens without a call.
func (s *Store) NextEvent() (time.Time, bool) {
	wait := time.Duration(-1)
	if len(s.waiting) > 0 {
		wait = seconds((1 - s.tokens) / s.options.LoadsPerSecond)
	}
	speed := s.speed()
	for _, current := range s.active {
		rest := seconds(current.rest / speed)
		if wait < 0 || rest < wait {
			wait = rest
		}
	}
	return s.now.Add(wait), wait >= 0
}

// seconds returns a duration rounded up, at least 1 ns, so that time goes on.
func seconds(value float64) time.Duration {
	return max(time.Duration(value*float64(time.Second))+1, 1)
}

// speed returns the bytes a second of each active read.
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

// Advance does all that is due up to now and returns the reads that ended.
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
		outputs = s.end(outputs)
		s.admit()
	}
	s.progress(now)
	return outputs
}

// progress lets the active reads and the admission rate go on until at.
func (s *Store) progress(at time.Time) {
	passed := at.Sub(s.now).Seconds()
	if passed <= 0 {
		return
	}
	speed := s.speed()
	for _, current := range s.active {
		current.rest -= passed * speed
	}
	s.tokens = min(s.tokens+passed*s.options.LoadsPerSecond, float64(s.options.FullSpeed))
	s.now = at
}

// admit starts waiting reads as the rate allows.
func (s *Store) admit() {
	for len(s.waiting) > 0 && s.tokens >= 1 {
		s.tokens--
		s.active = append(s.active, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}

// end takes out the reads that have nothing left to read.
func (s *Store) end(outputs []StoreOutput) []StoreOutput {
	kept := s.active[:0]
	for _, current := range s.active {
		if current.rest > restBytes {
			kept = append(kept, current)
			continue
		}
		s.finished++
		failed := s.faults.FailRate > 0 && s.options.Random.Float64() < s.faults.FailRate
		reply := engineapi.FetchReply{Row: current.request.Row, SizeBytes: current.request.SizeBytes, Took: s.now.Sub(current.asked)}
		outputs = append(outputs, StoreOutput{Call: current.call, Failed: failed, Reply: reply})
	}
	clear(s.active[len(kept):])
	s.active = kept
	return outputs
}
