package group

import (
	"context"
	"errors"
	"fmt"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// proposal is a command or membership change that is pending until it is applied.
type proposal struct {
	ctx context.Context
	// propose passes the proposal to the node.
	propose func(*raft.Node) (index, term uint64, err error)
	term    uint64
	answer  chan outcome
}

// Propose replicates command and returns the result of Apply. ErrorNotLeader with the
// leader's address, ErrorInvalid for a command above MaxCommandBytes, and
// ErrorOverloaded mean that the command was not and will not be applied. ErrorDeadline
// (ctx ended) and ErrorUnavailable mean that the outcome is unknown, unless their remedy
// states that nothing was done.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, structs.NewError(structs.ErrorInvalid,
			fmt.Sprintf("a command of %d bytes exceeds the limit of %d", len(command), MaxCommandBytes),
			"Split it into smaller ones.")
	}
	data := encodeCommand(command)
	return g.propose(ctx, func(node *raft.Node) (uint64, uint64, error) { return node.Propose(data) })
}

func (g *Group) propose(ctx context.Context, propose func(*raft.Node) (uint64, uint64, error)) (any, error) {
	proposed := &proposal{ctx: ctx, propose: propose, answer: newAnswer()}
	if err := g.submit(ctx, proposed); err != nil {
		return nil, err
	}
	return g.await(ctx, proposed.answer, g.proposalTimeoutError)
}

func (g *Group) proposalTimeoutError(ctx context.Context) error {
	err := g.unknownOutcomeError("did not answer in time")
	var typed *structs.Error
	if errors.As(err, &typed) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		typed.Kind = structs.ErrorDeadline
	}
	return err
}

// start implements request.
func (p *proposal) start(g *Group) {
	if p.ctx.Err() != nil {
		p.answer <- outcome{err: notStartedError(g.options.Name)}
		return
	}
	if g.loop.node.Role() != raft.Leader {
		p.answer <- outcome{err: g.notLeaderError()}
		return
	}
	index, term, err := p.propose(g.loop.node)
	if structs.KindOf(err) == structs.ErrorNotLeader {
		err = g.notLeaderError()
	}
	if err != nil {
		p.answer <- outcome{err: err}
		return
	}
	p.term = term
	g.loop.proposals[index] = p
}

// answerProposal completes the proposal at the index of an applied entry. If the terms
// differ, the proposal was overwritten and will never be applied.
func (g *Group) answerProposal(entry raft.Entry, result any) {
	proposed, found := g.loop.proposals[entry.Index]
	if !found {
		return
	}
	delete(g.loop.proposals, entry.Index)
	if proposed.term != entry.Term {
		proposed.answer <- outcome{err: g.notLeaderError()}
		return
	}
	proposed.answer <- outcome{result: result}
}

// failProposals fails all pending proposals with an unknown outcome.
func (g *Group) failProposals() {
	for index, proposed := range g.loop.proposals {
		delete(g.loop.proposals, index)
		proposed.answer <- outcome{err: g.unknownOutcomeError("lost its leader")}
	}
}

// failProposalsUpTo fails the proposals up to last, which a snapshot has superseded.
func (g *Group) failProposalsUpTo(last uint64) {
	for index, proposed := range g.loop.proposals {
		if index <= last {
			delete(g.loop.proposals, index)
			proposed.answer <- outcome{err: g.unknownOutcomeError("replaced this member's log by a snapshot")}
		}
	}
}

// updateLeadership fails the pending proposals and reads when this node has stopped
// leading or leads in another term.
func (g *Group) updateLeadership() {
	term := g.loop.node.Term()
	leading := uint64(0)
	if g.loop.node.Role() == raft.Leader {
		leading = term
	}
	if leading == g.loop.leaderTerm {
		return
	}
	if g.loop.leaderTerm != 0 {
		g.failProposals()
		g.failReads()
	}
	g.loop.leaderTerm = leading
	g.loop.echoes.acknowledged = make(map[raft.NodeID]clockReading)
	level.Info(g.logger).Log("msg", "The leadership changed.", "term", term, "leader", g.loop.node.Leader())
}
