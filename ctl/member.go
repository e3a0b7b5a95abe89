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

// memberPollInterval is the interval between polls of the members during a replacement.
const memberPollInterval = 200 * time.Millisecond

// groupOption is the option for the group of a change.
type groupOption struct {
	Group string `long:"group" required:"yes" description:"global, or zone- and the zone's ID" value-name:"GROUP"`
}

// memberArgument is the argument for the daemon of a change.
type memberArgument struct {
	Daemon string `positional-arg-name:"DAEMON" description:"ID of the daemon"`
}

type memberList struct {
	invocation *invocation
	Group      string `long:"group" description:"show this group only" value-name:"GROUP"`
}

// Execute prints the members. It returns an unavailable error if one of the groups
// shown could not be queried.
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
			return structs.NewError(structs.ErrorUnavailable, "group "+group.Group+" cannot be queried: "+group.Problem,
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
		"Set a group from `lotusferryctl member list`.")
}

// membersOutput is the JSON output of member list.
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

// memberOutput is the JSON output of membership changes.
type memberOutput struct {
	Group  string                   `json:"group"`
	Action operatorapi.MemberAction `json:"action"`
	Daemon structs.DaemonID         `json:"daemon"`
}

// changeMember makes a membership change and prints it. done is the verb phrase of the
// printed sentence.
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

// Execute adds a running daemon that is not yet a member of the group.
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
	}, "is no longer a member of")
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

// Execute replaces a daemon. All steps are idempotent, so running the command again
// resumes an interrupted replacement.
func (c *memberReplace) Execute([]string) error {
	if c.Positional.Old == c.Positional.New {
		return usageError("OLD and NEW must differ; a daemon with an empty data folder rejoins with a new node ID by itself")
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

// awaitVoter waits until the daemon is an active voter.
func awaitVoter(ctx context.Context, service operatorapi.Service, name string, daemon structs.DaemonID) error {
	for {
		groups, err := service.Members(ctx)
		if err == nil && isVoter(groups, name, daemon) {
			return nil
		}
		if !pause.For(ctx, memberPollInterval) {
			return structs.NewError(structs.ErrorDeadline,
				"daemon "+string(daemon)+" is not a voter of group "+name+" yet; nothing was removed",
				"Run the same command again, with a longer --timeout; it resumes where it stopped.")
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
