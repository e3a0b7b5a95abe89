package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// enterPause separates two attempts of a new member to enter its group.
	enterPause = 100 * time.Millisecond
	// repairInterval separates two looks of a leader at the learners of its group.
	repairInterval = 100 * time.Millisecond
	// describeTimeout bounds asking one daemon for its member of a group.
	describeTimeout = time.Second
)

// memberNode brings this daemon's member into its group and, while it leads,
// carries the changes of the group's membership through.
type memberNode struct {
	logger log.Logger
	name   string
	group  *group.Group
	own    group.Member
	// listed are the members of the settings, this one among them.
	listed    []config.Member
	bootstrap bool
	client    *transport.Client
	leader    *leadercall.Caller
}

func (d *Daemon) newMemberNode(name string, joined *group.Group, own config.Member, listed []config.Member) *memberNode {
	return &memberNode{
		logger:    log.With(d.logger, "component", "member", "group", name),
		name:      name,
		group:     joined,
		own:       group.Member{Node: joined.Status().Node, Address: own.Address, Name: string(own.Daemon)},
		listed:    listed,
		bootstrap: d.config.Bootstrap,
		client:    d.client,
		leader:    leadercall.New(d.client, memberAddresses(listed)),
	}
}

// run enters the group, then repairs it whenever this member leads, until ctx ends.
func (m *memberNode) run(ctx context.Context) {
	m.enter(ctx)
	m.repairLoop(ctx)
}

// enter tries until the member takes part. What it waits for is logged on change.
func (m *memberNode) enter(ctx context.Context) {
	waits := ""
	for m.group.Status().Held && ctx.Err() == nil {
		err := m.enterOnce(ctx)
		if err == nil {
			level.Info(m.logger).Log("msg", "The member takes part.", "node", m.own.Node)
			return
		}
		if err.Error() != waits && ctx.Err() == nil {
			waits = err.Error()
			level.Warn(m.logger).Log("msg", "The member does not take part yet.", "node", m.own.Node, "reason", waits)
		}
		pause.For(ctx, enterPause)
	}
}

// enterOnce looks for the group among the listed members: it enters one that
// exists, and founds one only on the settings' word and once all others have said
// that they belong to none. Silence is never taken for an answer: behind it may be
// a group that this member voted in before it lost its disk.
func (m *memberNode) enterOnce(ctx context.Context) error {
	replies, silent := m.describeOthers(ctx)
	for _, reply := range replies {
		if len(reply.Voters) > 0 {
			return m.enterExisting(ctx, reply)
		}
	}
	switch {
	case !m.bootstrap:
		return structs.NewError(structs.ErrorUnavailable, "no listed member that answers belongs to group "+m.name,
			"Start the others. To found a new site, start every daemon once with --bootstrap.")
	case m.listed[0].Daemon != structs.DaemonID(m.own.Name):
		return structs.NewError(structs.ErrorUnavailable, "group "+m.name+" is not founded yet",
			"Start daemon "+string(m.listed[0].Daemon)+", which the site lists first, with --bootstrap.")
	case len(silent) > 0:
		return structs.NewError(structs.ErrorUnavailable,
			fmt.Sprintf("group %s is founded once all listed members answer; these do not: %v", m.name, silent),
			"Start them, or take them out of the site's settings.")
	}
	return m.found(ctx, replies)
}

// describeOthers asks the other listed members about the group, all at once.
func (m *memberNode) describeOthers(ctx context.Context) (replies []DescribeReply, silent []structs.DaemonID) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	type answer struct {
		daemon structs.DaemonID
		reply  DescribeReply
		err    error
	}
	answers := make(chan answer, len(m.listed))
	asked := 0
	for _, other := range m.listed {
		if other.Daemon == structs.DaemonID(m.own.Name) {
			continue
		}
		asked++
		go func() {
			reply, err := describeMember(ctx, m.client, other.Address, m.name)
			if err == nil && reply.Daemon != other.Daemon {
				err = wrongDaemonError(other.Address, reply.Daemon, other.Daemon)
			}
			answers <- answer{daemon: other.Daemon, reply: reply, err: err}
		}()
	}
	for range asked {
		next := <-answers
		if next.err != nil {
			silent = append(silent, next.daemon)
			continue
		}
		replies = append(replies, next.reply)
	}
	return replies, silent
}

func describeMember(ctx context.Context, client *transport.Client, address, name string) (DescribeReply, error) {
	reply := DescribeReply{}
	err := client.Call(ctx, address, methodMemberDescribe, DescribeArguments{Group: name}, &reply)
	if err == nil {
		err = structs.AsError(reply.Error)
	}
	return reply, err
}

func wrongDaemonError(address string, found, wanted structs.DaemonID) error {
	return structs.NewError(structs.ErrorDenied,
		fmt.Sprintf("at %s answers daemon %q and not %q", address, found, wanted),
		"Correct the address in the settings.")
}

// enterExisting enters a group that another member belongs to. A group that names
// this very node is entered; one that names only the daemon takes this node as the
// replacement of the identity that was lost.
func (m *memberNode) enterExisting(ctx context.Context, known DescribeReply) error {
	for _, voter := range known.Voters {
		if voter.Node != m.own.Node {
			continue
		}
		// The node never took part, so it has no vote to forget.
		return m.group.Found(ctx, known.Voters)
	}
	arguments := JoinArguments{Group: m.name, Member: m.own}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := leadercall.Call(ctx, m.leader, methodMemberJoin, arguments, func() *MemberReply { return &MemberReply{} }); err != nil {
		return err
	}
	return m.group.Admit(ctx)
}

// found gives every other member the founding list before this one takes it: a
// list that not all have is offered again by those that have it.
func (m *memberNode) found(ctx context.Context, others []DescribeReply) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	members := []group.Member{m.own}
	for _, other := range others {
		members = append(members, group.Member{Node: other.Node, Address: m.addressOf(other.Daemon), Name: string(other.Daemon)})
	}
	for _, member := range members[1:] {
		reply := &MemberReply{}
		arguments := FoundArguments{Group: m.name, Members: members}
		err := m.client.Call(ctx, member.Address, methodMemberFound, arguments, reply)
		if err == nil {
			err = structs.AsError(reply.Error)
		}
		if err != nil {
			return err
		}
	}
	if err := m.group.Found(ctx, members); err != nil {
		return err
	}
	level.Info(m.logger).Log("msg", "The group is founded.", "members", len(members))
	return nil
}

func (m *memberNode) addressOf(daemon structs.DaemonID) string {
	found, _ := memberOf(m.listed, daemon)
	return found.Address
}
