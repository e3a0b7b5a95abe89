package group

import (
	"context"
	"errors"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// read is a pending linearizable read.
type read struct {
	ctx    context.Context
	answer chan outcome
}

// readQueue holds the pending reads by stage.
type readQueue struct {
	// arrived holds the reads for the next read-index round.
	arrived []*read
	// lastContext identifies the newest round; rounds holds the reads of unconfirmed
	// rounds.
	lastContext uint64
	rounds      map[uint64][]*read
	// confirmed holds the reads whose index is not applied yet.
	confirmed []confirmedReads
}

type confirmedReads struct {
	index uint64
	reads []*read
}

// Read returns once the state machine of this node, which must be the leader, reflects
// every command whose Propose returned on any node before Read was called. The errors are
// ErrorNotLeader, ErrorDeadline, ErrorOverloaded and ErrorUnavailable; a read may always
// be retried.
func (g *Group) Read(ctx context.Context) error {
	asked := &read{ctx: ctx, answer: newAnswer()}
	if err := g.submit(ctx, asked); err != nil {
		return err
	}
	_, err := g.await(ctx, asked.answer, g.readTimeoutError)
	return err
}

func (g *Group) readTimeoutError(ctx context.Context) error {
	kind := structs.ErrorUnavailable
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = structs.ErrorDeadline
	}
	typed := structs.NewError(kind, "group "+g.options.Name+" did not confirm a read in time",
		"Retry; a quorum of the members must be running.")
	typed.RetryAfter = g.electionTimeout()
	return typed
}

// start implements request.
func (r *read) start(g *Group) {
	if r.ctx.Err() != nil {
		r.answer <- outcome{err: notStartedError(g.options.Name)}
		return
	}
	g.loop.reads.arrived = append(g.loop.reads.arrived, r)
}

// startReads starts one read-index round for all arrived reads.
func (g *Group) startReads() {
	queue := &g.loop.reads
	if len(queue.arrived) == 0 {
		return
	}
	reads := queue.arrived
	queue.arrived = nil
	if g.loop.node.Role() != raft.Leader {
		answerReads(reads, g.notLeaderError())
		return
	}
	queue.lastContext++
	if err := g.loop.node.ReadIndex(queue.lastContext); err != nil {
		answerReads(reads, err)
		return
	}
	if queue.rounds == nil {
		queue.rounds = make(map[uint64][]*read)
	}
	queue.rounds[queue.lastContext] = reads
}

func (g *Group) confirmReads(states []raft.ReadState) {
	queue := &g.loop.reads
	for _, state := range states {
		reads := queue.rounds[state.Context]
		delete(queue.rounds, state.Context)
		queue.confirmed = append(queue.confirmed, confirmedReads{index: state.Index, reads: reads})
	}
}

// finishReads completes the confirmed reads whose index is applied.
func (g *Group) finishReads() {
	queue := &g.loop.reads
	waiting := queue.confirmed[:0]
	for _, confirmed := range queue.confirmed {
		if confirmed.index > g.loop.applied {
			waiting = append(waiting, confirmed)
			continue
		}
		answerReads(confirmed.reads, nil)
	}
	clear(queue.confirmed[len(waiting):])
	queue.confirmed = waiting
}

// failReads fails all pending reads after this node has stopped leading.
func (g *Group) failReads() {
	queue := &g.loop.reads
	err := g.notLeaderError()
	answerReads(queue.arrived, err)
	for _, reads := range queue.rounds {
		answerReads(reads, err)
	}
	for _, confirmed := range queue.confirmed {
		answerReads(confirmed.reads, err)
	}
	queue.arrived = nil
	queue.rounds = nil
	queue.confirmed = nil
}

func answerReads(reads []*read, err error) {
	for _, waiting := range reads {
		waiting.answer <- outcome{err: err}
	}
}
