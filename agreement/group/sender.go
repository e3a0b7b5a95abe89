package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

const (
	// maxQueuedMessages and maxQueuedBytes bound the queue to one peer. The size is
	// checked before a message is added, so that one large message always fits.
	maxQueuedMessages = 512
	maxQueuedBytes    = 32 << 20
	// maxAppendBytes bounds the entry data of one append of several entries.
	maxAppendBytes = 8 << 20
	// messageOverheadBytes estimates the fixed size of a message or entry.
	messageOverheadBytes = 64
)

// sender sends queued messages to one peer, one batch at a time.
type sender struct {
	group *Group
	peer  raft.NodeID
	wake  chan struct{}

	mutex   sync.Mutex
	queue   []raft.Message
	bytes   int
	echo    clockReading
	failing bool
	// includeAddress adds this node's address to the next batch.
	includeAddress bool
}

// send queues messages for their peers, and starts missing senders.
func (g *Group) send(messages []raft.Message, sending context.Context, senders *sync.WaitGroup) {
	for _, message := range messages {
		target := g.loop.senders[message.To]
		if target == nil {
			target = &sender{group: g, peer: message.To, wake: make(chan struct{}, 1)}
			g.loop.senders[message.To] = target
			senders.Go(func() { target.run(sending) })
		}
		target.add(message, g.loop.echoes.accepted[message.To], g.isSilent(message.To))
	}
}

// isSilent reports whether a peer has sent nothing for an election timeout. It may be a
// joining node that does not know this node's address.
func (g *Group) isSilent(peer raft.NodeID) bool {
	last, known := g.loop.lastHeard[peer]
	return !known || g.now()-last >= g.electionTimeout()
}

func (s *sender) add(message raft.Message, echo clockReading, includeAddress bool) {
	message.Entries = limitEntries(message.Entries)
	s.mutex.Lock()
	s.echo = echo
	s.includeAddress = includeAddress
	if len(s.queue) < maxQueuedMessages && s.bytes < maxQueuedBytes {
		s.queue = append(s.queue, message)
		s.bytes += messageBytes(message)
	}
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// limitEntries returns the longest prefix of entries that fits into one append, and at
// least one entry. The peer's reply tells the leader where to continue.
func limitEntries(entries []raft.Entry) []raft.Entry {
	bytes := 0
	for position, entry := range entries {
		bytes += len(entry.Data)
		if bytes > maxAppendBytes && position > 0 {
			return entries[:position]
		}
	}
	return entries
}

func messageBytes(message raft.Message) int {
	bytes := messageOverheadBytes
	for _, entry := range message.Entries {
		bytes += messageOverheadBytes + len(entry.Data)
	}
	if message.Snapshot != nil {
		bytes += len(message.Snapshot.Data)
	}
	return bytes
}

func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.sendQueued(ctx)
		}
	}
}

// sendQueued sends the queued messages as one batch. A failed batch is dropped.
func (s *sender) sendQueued(ctx context.Context) {
	s.mutex.Lock()
	batch := StepArguments{
		Group:    s.group.options.Name,
		From:     s.group.options.Node,
		To:       s.peer,
		Echo:     s.echo.sent,
		EchoTerm: s.echo.term,
		Messages: s.queue,
	}
	named := s.includeAddress
	s.queue = nil
	s.bytes = 0
	s.mutex.Unlock()
	address := s.group.addressOf(s.peer)
	if named || carriesLog(batch.Messages) {
		batch.Address = s.group.addressOf(batch.From)
	}
	if len(batch.Messages) == 0 || address == "" {
		return
	}
	// The receiver processes the batch after this reading, so a lease that starts here
	// ends before the receiver may elect another leader.
	batch.Sent = int64(s.group.now())
	err := s.call(ctx, address, &batch)
	if took := s.group.now() - time.Duration(batch.Sent); err == nil && s.group.options.OnRoundTrip != nil {
		s.group.options.OnRoundTrip(took)
	}
	if ctx.Err() == nil {
		s.logReachability(address, err)
	}
}

// call sends a batch. Batches without a snapshot time out after an election timeout,
// because their messages are then stale.
func (s *sender) call(ctx context.Context, address string, batch *StepArguments) error {
	isSnapshot := func(message raft.Message) bool { return message.Snapshot != nil }
	if !slices.ContainsFunc(batch.Messages, isSnapshot) {
		limited, cancel := context.WithTimeout(ctx, s.group.electionTimeout())
		defer cancel()
		ctx = limited
	}
	return s.group.options.Client.Call(ctx, address, stepMethod, batch, &StepReply{})
}

// carriesLog reports whether one of the messages is an append or a snapshot.
func carriesLog(messages []raft.Message) bool {
	return slices.ContainsFunc(messages, func(message raft.Message) bool {
		return message.Kind == raft.MessageAppend || message.Kind == raft.MessageSnapshot
	})
}

// logReachability logs the first of consecutive failures, and the recovery.
func (s *sender) logReachability(address string, err error) {
	switch {
	case err != nil && !s.failing:
		level.Warn(s.group.logger).Log("msg", "A member is unreachable.", "node", s.peer, "address", address, "err", err)
	case err == nil && s.failing:
		level.Info(s.group.logger).Log("msg", "A member is reachable again.", "node", s.peer, "address", address)
	}
	s.failing = err != nil
}
