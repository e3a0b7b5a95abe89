package ctl

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

type memberCommands struct {
	List    memberList    `command:"list" description:"Show the members of the groups"`
	Add     memberAdd     `command:"add" description:"Add a daemon, which becomes a voter once it has the whole log"`
	Remove  memberRemove  `command:"remove" description:"Take a daemon out of a group"`
	Promote memberPromote `command:"promote" description:"Make a learner a voter, or tell why it cannot be one yet"`
	Replace memberReplace `command:"replace" description:"Add a daemon, wait until it is a voter, and remove another one"`
}

func newMemberCommands(shared *invocation) memberCommands {
	return memberCommands{
		List:    memberList{invocation: shared},
		Add:     memberAdd{invocation: shared},
		Remove:  memberRemove{invocation: shared},
		Promote: memberPromote{invocation: shared},
		Replace: memberReplace{invocation: shared},
	}
}

// memberPollPause separates two looks at a group whose change is awaited.
const memberPollPause = 200 * time.Millisecond

// groupOption names the group of a change.
type groupOption struct {
	Group string `long:"group" required:"yes" description:"global, or zone- and the zone's ID" value-name:"GROUP"`
}

// memberArgument names the daemon of a change.
type memberArgument struct {
	Daemon string `positional-arg-name:"DAEMON" description:"ID of the daemon"`
}

type memberList struct {
	invocation *invocation
	Group      string `long:"group" description:"show this group only" value-name:"GROUP"`
}

// Execute prints the members. It fails as unavailable when a group that was to be
// shown has no leader.
func (c *memberList) Execute([]string) error {
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	groups, err := service.Members(ctx)
	if err != nil {
		return err
	}
	if c.Group != "" {
		only, err := findGroup(groups, c.Group)
		if err != nil {
			return err
		}
		groups = []operatorapi.GroupMembers{only}
	}
	if err := c.invocation.printMembers(groups); err != nil {
		return err
	}
	for _, group := range groups {
		if group.Problem != "" {
			return structs.NewError(structs.ErrorUnavailable, "group "+group.Group+" cannot be asked: "+group.Problem,
				"Start a majority of its members; see docs/operations/members.md.")
		}
	}
	return nil
}

func findGroup(groups []operatorapi.GroupMembers, name string) (operatorapi.GroupMembers, error) {
	for _, group := range groups {
		if group.Group == name {
			return group, nil
		}
	}
	return operatorapi.GroupMembers{}, structs.NewError(structs.ErrorNotFound, "the site has no group "+name,
		"Name a group as `lotusferryctl member list` does.")
}

// membersOutput is what --json shows of the members.
type membersOutput struct {
	Groups []operatorapi.GroupMembers `json:"groups"`
}

func (s *invocation) printMembers(groups []operatorapi.GroupMembers) error {
	if s.options.JSON {
		return s.printJSON(membersOutput{Groups: groups})
	}
	var rows [][]string
	for _, group := range groups {
		for _, member := range group.Members {
			rows = append(rows, []string{
				group.Group,
				string(member.Daemon),
				strconv.FormatUint(member.Node, 10),
				member.Address,
				memberRole(member),
				yesNo(member.Active),
				fmt.Sprintf("%d/%d", member.Match, group.Applied),
			})
		}
	}
	return s.printTable([]string{"GROUP", "DAEMON", "NODE", "ADDRESS", "ROLE", "ANSWERS", "LOG"}, rows)
}

func memberRole(member operatorapi.MemberStatus) string {
	switch {
	case member.Leader:
		return "leader"
	case member.Voter:
		return "voter"
	}
	return "learner"
}

// memberOutput is the result of a change as --json shows it.
type memberOutput struct {
	Group  string                   `json:"group"`
	Action operatorapi.MemberAction `json:"action"`
	Daemon structs.DaemonID         `json:"daemon"`
}

// changeMember makes one change and prints it.
func (s *invocation) changeMember(change operatorapi.MemberChange, done string) error {
	service, ctx, cancel, err := s.service()
	if err != nil {
		return err
	}
	defer cancel()
	if err := service.ChangeMember(ctx, change); err != nil {
		return err
	}
	return s.printChange(change, done)
}

func (s *invocation) printChange(change operatorapi.MemberChange, done string) error {
	if s.options.JSON {
		return s.printJSON(memberOutput{Group: change.Group, Action: change.Action, Daemon: change.Daemon})
	}
	_, err := fmt.Fprintf(s.Output, "daemon %s %s group %s\n", change.Daemon, done, change.Group)
	return err
}

type memberAdd struct {
	invocation *invocation
	groupOption
	Internal   string         `long:"internal" required:"yes" description:"internal address of the daemon" value-name:"IP:PORT"`
	Positional memberArgument `positional-args:"yes" required:"yes"`
}

// Execute adds a daemon that runs and belongs to no group of this name yet.
func (c *memberAdd) Execute([]string) error {
	return c.invocation.changeMember(operatorapi.MemberChange{
		Group:   c.Group,
		Action:  operatorapi.MemberAdd,
		Daemon:  structs.DaemonID(c.Positional.Daemon),
		Address: c.Internal,
	}, "receives the log of")
}

type memberRemove struct {
	invocation *invocation
	groupOption
	Positional memberArgument `positional-args:"yes" required:"yes"`
}

// Execute removes a daemon.
func (c *memberRemove) Execute([]string) error {
	return c.invocation.changeMember(operatorapi.MemberChange{
		Group:  c.Group,
		Action: operatorapi.MemberRemove,
		Daemon: structs.DaemonID(c.Positional.Daemon),
	}, "is no member any more of")
}

type memberPromote struct {
	invocation *invocation
	groupOption
	Positional memberArgument `positional-args:"yes" required:"yes"`
}

// Execute promotes a learner.
func (c *memberPromote) Execute([]string) error {
	return c.invocation.changeMember(operatorapi.MemberChange{
		Group:  c.Group,
		Action: operatorapi.MemberPromote,
		Daemon: structs.DaemonID(c.Positional.Daemon),
	}, "is a voter of")
}

type memberReplace struct {
	invocation *invocation
	groupOption
	Internal   string `long:"internal" required:"yes" description:"internal address of the new daemon" value-name:"IP:PORT"`
	Positional struct {
		Old string `positional-arg-name:"OLD" description:"ID of the daemon that goes"`
		New string `positional-arg-name:"NEW" description:"ID of the daemon that comes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute replaces a daemon. Every step may be repeated, so a replacement that was
// cut short is finished by the same command.
func (c *memberReplace) Execute([]string) error {
	if c.Positional.Old == c.Positional.New {
		return usageError("a daemon with an empty data folder replaces its own lost identity by itself; name another daemon")
	}
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	add := operatorapi.MemberChange{
		Group:   c.Group,
		Action:  operatorapi.MemberAdd,
		Daemon:  structs.DaemonID(c.Positional.New),
		Address: c.Internal,
	}
	if err := service.ChangeMember(ctx, add); err != nil {
		return err
	}
	if err := awaitVoter(ctx, service, c.Group, add.Daemon); err != nil {
		return err
	}
	remove := operatorapi.MemberChange{Group: c.Group, Action: operatorapi.MemberRemove, Daemon: structs.DaemonID(c.Positional.Old)}
	if err := service.ChangeMember(ctx, remove); err != nil {
		return err
	}
	return c.invocation.printChange(add, "has replaced "+c.Positional.Old+" in")
}

// awaitVoter returns once the daemon is a voter that answers.
func awaitVoter(ctx context.Context, service operatorapi.Service, name string, daemon structs.DaemonID) error {
	for {
		groups, err := service.Members(ctx)
		if err == nil && isVoter(groups, name, daemon) {
			return nil
		}
		if !pause.For(ctx, memberPollPause) {
			return structs.NewError(structs.ErrorDeadline,
				"daemon "+string(daemon)+" is not a voter of group "+name+" yet; nothing was removed",
				"Run the same command again, with a longer --timeout; it goes on where it stopped.")
		}
	}
}

func isVoter(groups []operatorapi.GroupMembers, name string, daemon structs.DaemonID) bool {
	group, err := findGroup(groups, name)
	if err != nil {
		return false
	}
	for _, member := range group.Members {
		if member.Daemon == daemon && member.Voter && member.Active {
			return true
		}
	}
	return false
}
