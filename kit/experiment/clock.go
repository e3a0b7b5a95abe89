package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of future events. Events at equal times run in
// the order in which they were scheduled.
type clock struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

// after schedules an action, which cannot be cancelled, after the delay. A negative
// delay counts as 0.
func (c *clock) after(delay time.Duration, action func()) {
	c.at(c.now.Add(max(delay, 0)), action)
}

func (c *clock) at(at time.Time, action func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at, c.lastSequence, action})
}

// next returns the time of the next event and whether there is one.
func (c *clock) next() (time.Time, bool) {
	if len(c.events) == 0 {
		return time.Time{}, false
	}
	return c.events[0].at, true
}

// step advances the clock to the next event and runs it.
func (c *clock) step() {
	due := heap.Pop(&c.events).(event)
	c.now = due.at
	due.action()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return item
}
