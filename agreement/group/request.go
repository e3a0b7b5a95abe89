package group

import (
	"context"
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// request is a caller's request to the loop; start runs on the loop's goroutine.
type request interface{ start(*Group) }

// outcome is the result of a request.
type outcome struct {
	result any
	err    error
}

// newAnswer returns the channel for the outcome of one request. It is buffered, so that
// the loop never blocks on the caller.
func newAnswer() chan outcome { return make(chan outcome, 1) }

// submit queues a request for the loop. If it returns an error, the request was not and
// will not be started.
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
		return notStartedError(g.options.Name)
	}
}

// await waits for the outcome of a submitted request. timeoutError returns the error for
// a context that ends first.
func (g *Group) await(ctx context.Context, answer <-chan outcome, timeoutError func(context.Context) error) (any, error) {
	select {
	case done := <-answer:
		return done.result, done.err
	case <-ctx.Done():
		return nil, timeoutError(ctx)
	case <-g.stopped:
	}
	// stop completes all requests before it closes stopped.
	select {
	case done := <-answer:
		return done.result, done.err
	default:
		return nil, stoppedError(g.options.Name)
	}
}

// notLeaderError returns an ErrorNotLeader with the leader's address, if known.
func (g *Group) notLeaderError() error {
	leader := g.loop.node.Leader()
	typed := structs.NewError(structs.ErrorNotLeader,
		fmt.Sprintf("node %d does not lead group %s", g.options.Node, g.options.Name),
		"Retry at the leader named in this error, or at any other member.")
	if leader != g.options.Node {
		typed.Leader = g.addressOf(leader)
	}
	if typed.Leader == "" {
		typed.RetryAfter = g.electionTimeout()
		typed.Remedy = "Retry after an election; a quorum of the members must be running."
	}
	return typed
}

func (g *Group) unknownOutcomeError(reason string) error {
	typed := structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("the outcome of the command is unknown: group %s %s", g.options.Name, reason),
		"Retry with the same edit or claim ID; that is safe and returns the first result.")
	typed.RetryAfter = g.electionTimeout()
	return typed
}

// notStartedError is the error of a request whose context ended before it was started.
func notStartedError(name string) error {
	return structs.NewError(structs.ErrorOverloaded,
		"group "+name+" did not start the request in time", "Retry later; nothing was done.")
}

func stoppedError(name string) error {
	return structs.NewError(structs.ErrorUnavailable,
		"this daemon's member of group "+name+" is stopped", "Retry at another member; nothing was done.")
}
