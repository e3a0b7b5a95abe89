package experiment

import (
	"container/heap"
	"time"
)

// clock is virtual time with the events that are to come. Events at the same
// time happen in the order in which they were set.
type clock struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at     time.Time
	number uint64
	action func()
}

// after sets an event that cannot be called off.
func (c *clock) after(delay time.Duration, action func()) {
	c.at(c.now.Add(max(delay, 0)), action)
}

func (c *clock) at(at time.Time, action func()) {
	c.count++
	heap.Push(&c.events, event{at, c.count, action})
}

// next returns the time of the next event, and false when there is none.
func (c *clock) next() (time.Time, bool) {
	if len(c.events) == 0 {
		return time.Time{}, false
	}
	return c.events[0].at, true
}

// step lets the next event happen.
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
	return h[i].number < h[j].number
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
