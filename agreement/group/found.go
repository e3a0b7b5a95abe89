package group

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/structs"
)

// founding asks the loop to begin a new group.
type founding struct {
	members []Member
	answer  chan outcome
}

// Found begins a new group whose first voters are members, this one among them.
// Every founding member must be given the same list. The list is durable when
// Found returns. Founding again with a list that names the same nodes changes
// nothing. ErrorConflict: the member already belongs to a group, or the list does
// not name its node, as when its disk was replaced since the list was made.
func (g *Group) Found(ctx context.Context, members []Member) error {
	return g.ask(ctx, func(answer chan outcome) request { return &founding{members: members, answer: answer} })
}

// start implements request.
func (f *founding) start(g *Group) { f.answer <- outcome{err: g.found(f.members)} }

func (g *Group) found(members []Member) error {
	membership, snapshot, err := foundation(members)
	if err != nil {
		return err
	}
	if !membership.HasVoter(g.options.Node) {
		return structs.NewError(structs.ErrorConflict,
			"the founding members of group "+g.options.Name+" do not name this node",
			"Found the group again with the members as they are now.")
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
			"this member of group "+g.options.Name+" already belongs to one",
			"Add members to the running group with `lotusferryctl member add`.")
	}
	if err := g.options.Store.Save(nil, nil, &snapshot); err != nil {
		return err
	}
	restored.Snapshot = snapshot
	return g.startNode(restored)
}

// foundation makes the snapshot, at index 0, that a new group begins with.
func foundation(members []Member) (raft.Membership, raft.Snapshot, error) {
	book := newAddressBook(nil)
	var membership raft.Membership
	for _, member := range members {
		membership.Voters = append(membership.Voters, member.Node)
		book.replicate(member)
	}
	data, err := msgpack.Marshal(&groupSnapshot{Addresses: book.replicated, Names: book.names})
	return membership, raft.Snapshot{Membership: membership, Data: data}, errors.Wrap(err, "encode founding members")
}

// restoreFoundation takes the addresses and names of a group that has no other
// snapshot than the one it was founded with.
func (g *Group) restoreFoundation(snapshot raft.Snapshot) error {
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

// admission asks the loop to take part.
type admission struct{ answer chan outcome }

// Admit ends the hold of a member that its group has added as a learner, or that
// the group lists already. It is harmless for a member that is not held.
func (g *Group) Admit(ctx context.Context) error {
	return g.ask(ctx, func(answer chan outcome) request { return &admission{answer: answer} })
}

// start implements request.
func (a *admission) start(g *Group) {
	g.loop.held = false
	a.answer <- outcome{}
}

// ask hands the loop a request that is answered at once.
func (g *Group) ask(ctx context.Context, newRequest func(chan outcome) request) error {
	answer := newAnswer()
	if err := g.submit(ctx, newRequest(answer)); err != nil {
		return err
	}
	_, err := g.await(ctx, answer, func(context.Context) error { return overdueError(g.options.Name) })
	return err
}
