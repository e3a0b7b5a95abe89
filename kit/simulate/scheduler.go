package simulate

import (
	"container/heap"
	"time"
)

// event is a function scheduled at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap orders events by time, then by creation.
type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(*event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	value := old[last]
	old[last] = nil
	*h = old[:last]
	return value
}

// Scheduler is the event queue and the virtual clock of one simulated site.
type Scheduler struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
	stopped  bool
	// limit bounds the events of Run; 0 means no limit.
	limit uint64
	ran   uint64
}

// Now returns the virtual time since the start of the simulation.
func (s *Scheduler) Now() time.Duration { return s.now }

// wallTime returns the virtual time as the wall time of an exact clock.
func (s *Scheduler) wallTime() time.Time { return epochStart.Add(s.now) }

// At schedules the function at the given virtual time, or now if that has passed.
// Events of equal time run in the order of scheduling.
func (s *Scheduler) At(at time.Duration, run func()) {
	if at < s.now {
		at = s.now
	}
	s.sequence++
	heap.Push(&s.events, &event{at: at, sequence: s.sequence, run: run})
}

// After schedules the function after the given virtual duration.
func (s *Scheduler) After(delay time.Duration, run func()) { s.At(s.now+delay, run) }

// Stop makes Run return after the current event.
func (s *Scheduler) Stop() { s.stopped = true }

// Exhausted reports whether the event limit is reached.
func (s *Scheduler) Exhausted() bool { return s.limit > 0 && s.ran >= s.limit }

// Run executes events in order up to the given virtual time, until Stop is called or
// the event limit is reached.
func (s *Scheduler) Run(until time.Duration) {
	for !s.stopped && !s.Exhausted() && len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(*event)
		s.now = next.at
		s.ran++
		next.run()
	}
	if !s.stopped && !s.Exhausted() && s.now < until {
		s.now = until
	}
}
