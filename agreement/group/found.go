package group

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// foundRequest asks the loop to create a new group.
type foundRequest struct {
	members []Member
	answer  chan outcome
}

// Found creates a new group whose initial voters are members, including this one. All
// initial members must be given the same list, which is durable when Found returns.
// Calling it again with the same nodes is a no-op. It returns ErrorConflict if the
// member already belongs to a group, or if the list does not contain its node, such as
// after its disk was replaced.
func (g *Group) Found(ctx context.Context, members []Member) error {
	return g.submitAndWait(ctx, func(answer chan outcome) request { return &foundRequest{members: members, answer: answer} })
}

// start implements request.
func (f *foundRequest) start(g *Group) { f.answer <- outcome{err: g.found(f.members)} }

func (g *Group) found(members []Member) error {
	membership, snapshot, err := foundingSnapshot(members)
	if err != nil {
		return err
	}
	if !membership.HasVoter(g.options.Node) {
		return structs.NewError(structs.ErrorConflict,
			"the initial members of group "+g.options.Name+" do not include this node",
			"Create the group again with its current members.")
	}
	if g.loop.node.Status().Membership.Equal(membership) {
		return nil
	}
	restored, err := g.options.Store.Load()
	if err != nil {
		return err
	}
	if !isEmpty(restored) || !g.loop.held {
		return structs.NewError(structs.ErrorConflict,
			"this member of group "+g.options.Name+" already belongs to a group",
			"Add members to the running group with `lotusferryctl member add`.")
	}
	if err := g.write("membership", func() error { return g.options.Store.Save(nil, nil, &snapshot) }); err != nil {
		return err
	}
	restored.Snapshot = snapshot
	return g.startNode(restored)
}

// foundingSnapshot returns the initial snapshot of a new group, at index 0.
func foundingSnapshot(members []Member) (raft.Membership, raft.Snapshot, error) {
	book := newAddressBook(nil)
	var membership raft.Membership
	for _, member := range members {
		membership.Voters = append(membership.Voters, member.Node)
		book.replicate(member)
	}
	data, err := msgpack.Marshal(&groupSnapshot{Addresses: book.replicated, Names: book.names})
	return membership, raft.Snapshot{Membership: membership, Data: data}, errors.Wrap(err, "encode initial members")
}

// restoreFoundingSnapshot restores the addresses and names from the initial snapshot. It
// does nothing if the group has a later one.
func (g *Group) restoreFoundingSnapshot(snapshot raft.Snapshot) error {
	if snapshot.Index > 0 || len(snapshot.Data) == 0 {
		return nil
	}
	decoded, err := decodeGroupSnapshot(snapshot.Data)
	if err != nil {
		return err
	}
	g.stateMutex.Lock()
	defer g.stateMutex.Unlock()
	g.addresses.restore(decoded)
	return nil
}

// admitRequest asks the loop to end the hold of the member.
type admitRequest struct{ answer chan outcome }

// Admit ends the hold of a member that its group has added as a learner or already
// lists. It is a no-op for a member that is not held.
func (g *Group) Admit(ctx context.Context) error {
	return g.submitAndWait(ctx, func(answer chan outcome) request { return &admitRequest{answer: answer} })
}

// start implements request.
func (a *admitRequest) start(g *Group) {
	g.loop.held = false
	a.answer <- outcome{}
}

// submitAndWait submits a request that the loop answers immediately, and returns its error.
func (g *Group) submitAndWait(ctx context.Context, newRequest func(chan outcome) request) error {
	answer := newAnswer()
	if err := g.submit(ctx, newRequest(answer)); err != nil {
		return err
	}
	_, err := g.await(ctx, answer, func(context.Context) error { return notStartedError(g.options.Name) })
	return err
}
