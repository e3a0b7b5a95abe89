package group

import (
	"context"
	"slices"
	"sync"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
)

const (
	// maxQueuedMessages and maxQueuedBytes bound the queue to one peer. The bytes
	// are checked before a message is added, so one large message always fits.
	maxQueuedMessages = 512
	maxQueuedBytes    = 32 << 20
	// maxAppendBytes bounds the entries of one append, but for the first of them.
	maxAppendBytes = 8 << 20
	// messageOverheadBytes stands for the fixed part of a message.
	messageOverheadBytes = 64
)

// sender sends messages to one peer, one batch at a time.
type sender struct {
	group *Group
	peer  raft.NodeID
	wake  chan struct{}

	mutex  sync.Mutex
	queue  []raft.Message
	bytes  int
	echo   acknowledgement
	broken bool
	// named asks for this node's address in the next batch.
	named bool
}

// send queues messages for their peers.
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

// isSilent reports whether a peer has not been heard of for an election timeout. It
// may be a node that joins and does not know where to answer.
func (g *Group) isSilent(peer raft.NodeID) bool {
	last, known := g.loop.heard[peer]
	return !known || g.now()-last >= g.electionTimeout()
}

func (s *sender) add(message raft.Message, echo acknowledgement, named bool) {
	message.Entries = limitEntries(message.Entries)
	s.mutex.Lock()
	s.echo = echo
	s.named = named
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

// limitEntries keeps as many entries as fit one append. The peer's reply tells
// the leader where to go on.
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

// sendQueued sends what is queued as one batch. A batch that fails is dropped.
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
	named := s.named
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
	// The receiver acts on the batch after this moment, so that a lease counted
	// from here ends before the receiver may elect another leader.
	batch.Sent = int64(s.group.now())
	err := s.call(ctx, address, &batch)
	if ctx.Err() == nil {
		s.logChange(address, err)
	}
}

// call sends a batch. But for a snapshot, which is large, a batch that takes an
// election timeout has come too late to be of use.
func (s *sender) call(ctx context.Context, address string, batch *StepArguments) error {
	isSnapshot := func(message raft.Message) bool { return message.Snapshot != nil }
	if !slices.ContainsFunc(batch.Messages, isSnapshot) {
		limited, cancel := context.WithTimeout(ctx, s.group.electionTimeout())
		defer cancel()
		ctx = limited
	}
	return s.group.options.Client.Call(ctx, address, stepMethod, batch, &StepReply{})
}

// carriesLog reports whether one of the messages brings a part of the log.
func carriesLog(messages []raft.Message) bool {
	return slices.ContainsFunc(messages, func(message raft.Message) bool {
		return message.Kind == raft.MessageAppend || message.Kind == raft.MessageSnapshot
	})
}

// logChange logs the first failure and the recovery, not each failure between.
func (s *sender) logChange(address string, err error) {
	switch {
	case err != nil && !s.broken:
		level.Warn(s.group.logger).Log("msg", "A member cannot be reached.", "node", s.peer, "address", address, "err", err)
	case err == nil && s.broken:
		level.Info(s.group.logger).Log("msg", "A member can be reached again.", "node", s.peer, "address", address)
	}
	s.broken = err != nil
}
