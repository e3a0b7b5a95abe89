package emulator

import (
	"container/heap"
	"time"
)

// timer is an action scheduled by an engine.
type timer struct {
	at time.Time
	// order breaks ties: timers with equal times run in the order in which they were
	// added.
	order uint64
	run   func()
}

// timerQueue is a priority queue of timers by time.
type timerQueue struct {
	timers []timer
	last   uint64
}

func (q *timerQueue) add(at time.Time, run func()) {
	q.last++
	heap.Push((*timerHeap)(&q.timers), timer{at: at, order: q.last, run: run})
}

func (q *timerQueue) first() (time.Time, bool) {
	if len(q.timers) == 0 {
		return time.Time{}, false
	}
	return q.timers[0].at, true
}

func (q *timerQueue) pop() timer {
	return heap.Pop((*timerHeap)(&q.timers)).(timer)
}

type timerHeap []timer

var _ heap.Interface = (*timerHeap)(nil)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(item any) { *h = append(*h, item.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return popped
}
