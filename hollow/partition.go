package hollow

import (
	"math/rand/v2"
	"time"
)

// event is something that happens in a partition.
type event struct {
	at int64
	// order breaks ties: events of the same time happen in the order of their scheduling.
	order uint64
	run   func()
}

// letter is an event for another partition.
type letter struct {
	to  *partition
	at  int64
	run func()
}

// partition is one zone's part of the simulation. Only its own events touch what
// belongs to it.
type partition struct {
	index  int
	now    int64
	queue  []event
	last   uint64
	outbox []letter
	random *rand.Rand
	sizer  *sizer
	cost   costs
	// events counts what has happened.
	events uint64
}

func newPartition(index int, seed uint64) *partition {
	return &partition{
		index:  index,
		random: rand.New(rand.NewPCG(seed, uint64(index)+1)),
		sizer:  newSizer(),
	}
}

// epochStart is virtual time zero.
var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *partition) time() time.Time { return epochStart.Add(time.Duration(p.now)) }

// after schedules an event in the partition itself.
func (p *partition) after(delay time.Duration, run func()) { p.at(p.now+int64(delay), run) }

func (p *partition) at(when int64, run func()) {
	p.last++
	p.queue = append(p.queue, event{at: max(when, p.now), order: p.last, run: run})
	p.up(len(p.queue) - 1)
}

// post schedules an event in any partition after a delay, which towards another
// partition is at least one slice.
func (p *partition) post(to *partition, delay time.Duration, run func()) {
	if to == p {
		p.after(delay, run)
		return
	}
	p.outbox = append(p.outbox, letter{to: to, at: p.now + int64(delay), run: run})
}

// runUntil does all that happens before the given time.
func (p *partition) runUntil(end int64) {
	for len(p.queue) > 0 && p.queue[0].at < end {
		next := p.pop()
		p.now = next.at
		p.events++
		next.run()
	}
	p.now = end
}

func (a event) before(b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

func (p *partition) up(index int) {
	moved := p.queue[index]
	for index > 0 {
		parent := (index - 1) / 2
		if !moved.before(p.queue[parent]) {
			break
		}
		p.queue[index] = p.queue[parent]
		index = parent
	}
	p.queue[index] = moved
}

func (p *partition) pop() event {
	first := p.queue[0]
	last := len(p.queue) - 1
	moved := p.queue[last]
	p.queue[last] = event{}
	p.queue = p.queue[:last]
	if last == 0 {
		return first
	}
	index := 0
	for {
		child := 2*index + 1
		if child >= last {
			break
		}
		if child+1 < last && p.queue[child+1].before(p.queue[child]) {
			child++
		}
		if !p.queue[child].before(moved) {
			break
		}
		p.queue[index] = p.queue[child]
		index = child
	}
	p.queue[index] = moved
	return first
}
