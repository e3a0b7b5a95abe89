package ctl_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

func TestMembershipChanges(t *testing.T) {
	add := operatorapi.MemberChange{Group: "global", Action: operatorapi.MemberAdd, Daemon: "b-9", Address: "10.0.0.9:7402"}
	tests := []struct {
		command string
		want    []operatorapi.MemberChange
		output  string
	}{
		{"member add b-9 --group global --internal 10.0.0.9:7402", []operatorapi.MemberChange{add}, "daemon b-9 receives the log of group global\n"},
		{"member promote b-9 --group global", []operatorapi.MemberChange{{Group: "global", Action: operatorapi.MemberPromote, Daemon: "b-9"}}, "daemon b-9 is a voter of group global\n"},
		{"member remove b-1 --group global", []operatorapi.MemberChange{{Group: "global", Action: operatorapi.MemberRemove, Daemon: "b-1"}}, "daemon b-1 is no longer a member of group global\n"},
		{"member replace b-1 b-9 --group global --internal 10.0.0.9:7402", []operatorapi.MemberChange{
			add, {Group: "global", Action: operatorapi.MemberRemove, Daemon: "b-1"},
		}, "daemon b-9 has replaced b-1 in group global\n"},
	}
	for _, test := range tests {
		c := qt.New(t)
		s := newSite()
		s.groups = []operatorapi.GroupMembers{{Group: "global", Members: []operatorapi.MemberStatus{{Daemon: "b-9", Voter: true, Active: true}}}}
		result := run(s, "", strings.Fields(test.command)...)
		c.Check(result.code, qt.Equals, ctl.ExitOK)
		c.Check(result.output, qt.Equals, test.output)
		c.Check(s.changes, qt.DeepEquals, test.want)
	}
}

func TestReplaceKeepsTheOldMemberUntilTheNewOneVotes(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.groups = []operatorapi.GroupMembers{{Group: "global", Members: []operatorapi.MemberStatus{{Daemon: "b-9", Active: true}}}}
	result := run(s, "", strings.Fields("--timeout 1ms member replace b-1 b-9 --group global --internal 10.0.0.9:7402")...)
	c.Check(result.code, qt.Equals, ctl.ExitUnavailable)
	c.Check(result.errors, qt.Contains, "nothing was removed")
	c.Check(s.changes, qt.HasLen, 1)
}

func TestMemberList(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.groups = []operatorapi.GroupMembers{
		{Group: "global", Applied: 9, Members: []operatorapi.MemberStatus{{Daemon: "a-1", Node: 1 << 52, Address: "10.0.0.1:7402", Voter: true, Leader: true, Active: true, Match: 9}}},
		{Group: "zone-b", Problem: "no quorum"},
	}
	result := run(s, "", "member", "list", "--group", "global")
	c.Check(result.code, qt.Equals, ctl.ExitOK)
	c.Check(result.output, qt.Matches, `(?s)GROUP .*\nglobal +a-1 +4503599627370496 +10.0.0.1:7402 +leader +yes +9/9\n`)
	result = run(s, "", "member", "list", "--json")
	c.Check(result.code, qt.Equals, ctl.ExitUnavailable)
	c.Check(result.output, qt.Contains, `"node": 4503599627370496`)
	c.Check(result.errors, qt.Contains, "no quorum")
	result = run(s, "", "member", "list", "--group", "zone-x")
	c.Check(result.code, qt.Not(qt.Equals), ctl.ExitOK)
	s.err = structs.NewError(structs.ErrorConflict, "daemon a-1 is still receiving the log", "Wait.")
	result = run(s, "", "member", "remove", "a-1", "--group", "global")
	c.Check(result.code, qt.Equals, ctl.ExitConflict)
	c.Check(result.errors, qt.Contains, "Wait.")
}
