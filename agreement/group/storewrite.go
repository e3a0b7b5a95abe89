package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

const (
	// slowWrite is the duration from which a write to the store is logged.
	slowWrite = 500 * time.Millisecond
	// maxLeaderWrite is the number of election timeouts for which a leader goes on sending heartbeats
	// during a write. A shorter write costs less than another leader; after a longer one, its disk may
	// have failed, and others can lead.
	maxLeaderWrite = 3
)

// awaitWrite runs a write to the store. Meanwhile the member takes messages, and sends and answers
// heartbeats, so that a slow disk does not end a leadership. Everything else waits for the write.
func (g *Group) awaitWrite(sending context.Context, senders *sync.WaitGroup, name string, run func() error) error {
	began := g.now()
	done := make(chan error, 1)
	go func() { done <- g.write(name, run) }()
	for {
		select {
		case err := <-done:
			g.noteWrite(g.now() - began)
			return err
		case <-g.loop.ticks:
			g.noteTick()
			g.tickDuringWrite()
		case batch := <-g.incoming:
			g.step(batch)
		}
		if g.loop.node.Role() != raft.Leader || g.now()-began < maxLeaderWrite*g.electionTimeout() {
			g.send(g.loop.node.TakeHeartbeats(), sending, senders)
		}
		g.publish()
	}
}

// tickDuringWrite advances the time of a leader, whose heartbeats are due. For others time stands
// still, since they cannot take part in an election before the write has ended.
func (g *Group) tickDuringWrite() {
	if g.loop.node.Role() == raft.Leader {
		g.loop.node.Tick()
	}
}

// noteWrite tells the node how long writes take: the last one, or half of what was told before.
func (g *Group) noteWrite(took time.Duration) {
	g.loop.writeTime = max(took, g.loop.writeTime/2)
	g.loop.node.SetWriteTicks(int(g.loop.writeTime / g.options.TickInterval))
}

// write runs a write to the store and reports its duration. A slow one is logged while it lasts, since
// it may never end, and again when it has ended.
func (g *Group) write(name string, run func() error) error {
	began := g.now()
	slow := time.AfterFunc(slowWrite, func() {
		level.Warn(g.logger).Log("msg", "A write to the store takes long; nothing is committed here until it ends.", "write", name, "after", slowWrite)
	})
	err := run()
	took := g.now() - began
	if !slow.Stop() {
		level.Warn(g.logger).Log("msg", "A slow write to the store ended.", "write", name, "took", took, "err", err)
	}
	if g.options.OnWrite != nil {
		g.options.OnWrite(took)
	}
	return err
}
