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
	// joinRetryInterval is the time between attempts of a new member to join its group.
	joinRetryInterval = 100 * time.Millisecond
	// repairInterval is the time between a leader's checks of its group's learners.
	repairInterval = 100 * time.Millisecond
	// describeTimeout bounds asking one daemon for its member of a group.
	describeTimeout = time.Second
)

// memberNode joins this daemon's member to its group and, while it leads, carries out
// membership changes.
type memberNode struct {
	logger log.Logger
	name   string
	group  *group.Group
	own    group.Member
	// listed are the members in the settings, including this one.
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

// run joins the group, then repairs it while this member leads, until ctx is done.
func (m *memberNode) run(ctx context.Context) {
	m.join(ctx)
	m.repairLoop(ctx)
}

// join retries until the member participates in its group. It logs the reason for
// waiting when that changes.
func (m *memberNode) join(ctx context.Context) {
	reason := ""
	for m.group.Status().Held && ctx.Err() == nil {
		err := m.tryJoin(ctx)
		if err == nil {
			level.Info(m.logger).Log("msg", "The member takes part.", "node", m.own.Node)
			return
		}
		if err.Error() != reason && ctx.Err() == nil {
			reason = err.Error()
			level.Warn(m.logger).Log("msg", "The member does not take part yet.", "node", m.own.Node, "reason", reason)
		}
		pause.For(ctx, joinRetryInterval)
	}
}

// tryJoin looks for the group among the listed members. It joins an existing group. It
// creates a new one only if bootstrap is set and all other members have replied that
// they belong to none: a member that does not reply may belong to a group in which this
// member voted before it lost its disk.
func (m *memberNode) tryJoin(ctx context.Context) error {
	replies, unreachable := m.describeOthers(ctx)
	for _, reply := range replies {
		if len(reply.Voters) > 0 {
			return m.joinExisting(ctx, reply)
		}
	}
	switch {
	case !m.bootstrap:
		return structs.NewError(structs.ErrorUnavailable, "no reachable listed member belongs to group "+m.name,
			"Start the others. To create a new site, start every daemon once with --bootstrap.")
	case m.listed[0].Daemon != structs.DaemonID(m.own.Name):
		return structs.NewError(structs.ErrorUnavailable, "group "+m.name+" is not created yet",
			"Start daemon "+string(m.listed[0].Daemon)+", which the site lists first, with --bootstrap.")
	case len(unreachable) > 0:
		return structs.NewError(structs.ErrorUnavailable,
			fmt.Sprintf("group %s is created once all listed members reply; these do not: %v", m.name, unreachable),
			"Start them, or remove them from the site's settings.")
	}
	return m.found(ctx, replies)
}

// describeOthers asks the other listed members about the group concurrently.
func (m *memberNode) describeOthers(ctx context.Context) (replies []DescribeReply, unreachable []structs.DaemonID) {
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
			unreachable = append(unreachable, next.daemon)
			continue
		}
		replies = append(replies, next.reply)
	}
	return replies, unreachable
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

// joinExisting joins a group that another member belongs to. If the group lists this
// node, it starts with that membership; if it lists the daemon under another node, this
// node replaces the lost one.
func (m *memberNode) joinExisting(ctx context.Context, known DescribeReply) error {
	for _, voter := range known.Voters {
		if voter.Node != m.own.Node {
			continue
		}
		// The node has never voted, so it cannot vote twice.
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

// found creates the group. It sends the initial membership to every other member before
// applying it here, so that an interrupted creation is completed by any member that has
// it.
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
