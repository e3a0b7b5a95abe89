package hollow

import (
	"sync"
	"sync/atomic"
	"time"
)

// clock drives the partitions through virtual time, slice by slice.
type clock struct {
	partitions []*partition
	slice      time.Duration
	now        int64
	workers    int

	work   chan int64
	next   atomic.Int64
	done   sync.WaitGroup
	closed sync.WaitGroup
}

func newClock(partitions []*partition, slice time.Duration, workers int) *clock {
	c := &clock{partitions: partitions, slice: slice, workers: workers, work: make(chan int64)}
	for range workers {
		c.closed.Go(c.worker)
	}
	return c
}

func (c *clock) worker() {
	for end := range c.work {
		for {
			index := c.next.Add(1) - 1
			if index >= int64(len(c.partitions)) {
				break
			}
			c.partitions[index].runUntil(end)
		}
		c.done.Done()
	}
}

// advance runs all partitions for the given virtual time.
func (c *clock) advance(duration time.Duration) {
	for end := c.now + int64(duration); c.now < end; {
		c.now = min(c.now+int64(c.slice), end)
		c.next.Store(0)
		c.done.Add(c.workers)
		for range c.workers {
			c.work <- c.now
		}
		c.done.Wait()
		c.exchange()
	}
}

// exchange delivers the letters in the order of their senders, which does not
// depend on the workers.
func (c *clock) exchange() {
	for _, sender := range c.partitions {
		for _, sent := range sender.outbox {
			sent.to.at(sent.at, sent.run)
		}
		clear(sender.outbox)
		sender.outbox = sender.outbox[:0]
	}
}

func (c *clock) close() {
	close(c.work)
	c.closed.Wait()
}
