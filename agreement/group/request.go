package group

import (
	"context"
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// request is something that a caller asks of the loop; start runs on its goroutine.
type request interface{ start(*Group) }

// outcome is the answer to a request.
type outcome struct {
	result any
	err    error
}

// newAnswer makes the channel on which the loop answers one request. The loop never
// waits for the caller to take the answer.
func newAnswer() chan outcome { return make(chan outcome, 1) }

// submit hands a request to the loop. When it returns an error, the request was
// not and will not be started.
func (g *Group) submit(ctx context.Context, submitted request) error {
	select {
	case <-g.stopped:
		return stoppedError(g.options.Name)
	default:
	}
	select {
	case g.requests <- submitted:
		return nil
	case <-g.stopped:
		return stoppedError(g.options.Name)
	case <-ctx.Done():
		return overdueError(g.options.Name)
	}
}

// await waits for the answer of a submitted request; late makes the error for a
// context that ends first.
func (g *Group) await(ctx context.Context, answer <-chan outcome, late func(context.Context) error) (any, error) {
	select {
	case done := <-answer:
		return done.result, done.err
	case <-ctx.Done():
		return nil, late(ctx)
	case <-g.stopped:
	}
	// stop answers before it closes stopped.
	select {
	case done := <-answer:
		return done.result, done.err
	default:
		return nil, stoppedError(g.options.Name)
	}
}

// notLeaderError names the leader, as far as this node knows one.
func (g *Group) notLeaderError() error {
	leader := g.loop.node.Leader()
	typed := structs.NewError(structs.ErrorNotLeader,
		fmt.Sprintf("node %d does not lead group %s", g.options.Node, g.options.Name),
		"Ask the leader that this error names, or any other member.")
	if leader != g.options.Node {
		typed.Leader = g.addressOf(leader)
	}
	if typed.Leader == "" {
		typed.RetryAfter = g.electionTimeout()
		typed.Remedy = "Ask again after an election; a quorum of the members must be running."
	}
	return typed
}

func (g *Group) unknownOutcomeError(reason string) error {
	typed := structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("the outcome of the command is unknown: group %s %s", g.options.Name, reason),
		"Send it again with the same edit or claim ID; that is safe and gives the first answer.")
	typed.RetryAfter = g.electionTimeout()
	return typed
}

// overdueError is for a request whose context ended before it was started.
func overdueError(name string) error {
	return structs.NewError(structs.ErrorOverloaded,
		"group "+name+" did not take the request in time", "Ask again later; nothing was done.")
}

func stoppedError(name string) error {
	return structs.NewError(structs.ErrorUnavailable,
		"this daemon's member of group "+name+" is stopped", "Ask another member; nothing was done.")
}
