package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// site is an in-memory Service. It accepts edits whose base revisions match.
type site struct {
	table operatorapi.TableView
	// failures are returned by the first calls of Apply and Watch, one per call.
	failures []error
	// lostResponses is the number of edits that are applied but return an error.
	lostResponses int
	problems      []structs.RowProblem
	applied       []structs.Edit
	dryRuns       int
	// statusCallsBehind is the number of Status calls that show zone sala-b behind.
	statusCallsBehind int
	statusCalls       int
	err               error
	drains            []operatorapi.DrainRequest
	groups            []operatorapi.GroupMembers
	changes           []operatorapi.MemberChange
	snapshot          []byte
	// watchChanges are returned by Watch, one per call.
	watchChanges []operatorapi.TableChanges
}

func newSite() *site {
	return &site{table: operatorapi.TableView{Revision: 7, Rows: []structs.Row{
		{Name: "code-large", Kind: structs.RowModel, Weight: 10, Priority: structs.PriorityLive, MinReplicas: 1, MaxReplicas: 4, MemoryBytes: 24 << 30, Role: "answers", Revision: 5},
		{Name: "code-review", Kind: structs.RowAdapter, Base: "code-large", Weight: 2, Priority: structs.PriorityBatch, MaxReplicas: 2, MemoryBytes: 1 << 30, Role: "answers", Objective: structs.ObjectiveIdle, Revision: 7},
	}}}
}

func (s *site) Table(context.Context) (operatorapi.TableView, error) { return s.table, s.err }

func (s *site) Apply(_ context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error) {
	if err := s.failure(); err != nil {
		return structs.EditResult{}, err
	}
	if s.problems != nil {
		return structs.EditResult{ID: edit.ID, Problems: s.problems}, nil
	}
	if dryRun {
		s.dryRuns++
		return structs.EditResult{ID: edit.ID, Accepted: true, Revision: s.table.Revision}, nil
	}
	s.applied = append(s.applied, edit)
	if conflicts := s.conflicts(edit); conflicts != nil {
		return structs.EditResult{ID: edit.ID, Conflicts: conflicts}, nil
	}
	if s.lostResponses > 0 {
		s.lostResponses--
		return structs.EditResult{}, structs.NewError(structs.ErrorUnavailable, "the answer was lost", "Ask again.")
	}
	s.table.Revision++
	return structs.EditResult{ID: edit.ID, Accepted: true, Revision: s.table.Revision}, nil
}

func (s *site) failure() error {
	if len(s.failures) == 0 {
		return s.err
	}
	err := s.failures[0]
	s.failures = s.failures[1:]
	return err
}

func (s *site) conflicts(edit structs.Edit) []structs.RowConflict {
	var conflicts []structs.RowConflict
	for _, change := range edit.Changes {
		var current structs.Row
		for _, row := range s.table.Rows {
			if row.Name == change.Row.Name {
				current = row
			}
		}
		if current.Revision != change.BaseRevision {
			conflicts = append(conflicts, structs.RowConflict{Row: change.Row.Name, Current: &current, BaseRevision: change.BaseRevision})
		}
	}
	return conflicts
}

func (s *site) History(_ context.Context, limit int) ([]structs.HistoryEntry, error) {
	entries := []structs.HistoryEntry{
		{Revision: 7, At: time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC), Author: "ada", Comment: "for the night", EditID: "e-7", Rows: []structs.RowName{"code-review"}},
		{Revision: 6, At: time.Date(2026, 5, 1, 11, 0, 0, 0, time.UTC), Author: "ines", EditID: "e-6", Rows: []structs.RowName{"a", "b", "c", "d", "e", "f", "g"}},
	}
	return entries[:min(limit, len(entries))], s.err
}

func (s *site) Status(context.Context) (operatorapi.SiteStatus, error) {
	s.statusCalls++
	behind := s.table.Revision
	if s.statusCalls <= s.statusCallsBehind {
		behind--
	}
	return operatorapi.SiteStatus{
		Revision: s.table.Revision,
		Zones: []structs.ZoneStatus{
			{Zone: "sala-a", TableRevision: s.table.Revision, Reachable: true, Leader: "sala-a-1", Replicas: make([]structs.Replica, 3), Surplus: []structs.RowSurplus{{Row: "code-large", Replicas: 3, Limit: 2}}},
			{Zone: "sala-b", TableRevision: behind, Reachable: s.statusCalls > s.statusCallsBehind, Leader: "sala-b-2"},
		},
		Daemons: []operatorapi.DaemonStatus{
			{Daemon: "sala-a-1", Zone: "sala-a", Roles: []string{"router", "controller"}, Address: "10.0.0.1:7401", Reachable: true, LeadsSite: true, LeadsZone: true, TableRevision: 7, Draining: true, OpenRequests: 3},
			{Daemon: "sala-b-2", Zone: "sala-b", LeadsZone: true},
		},
	}, s.err
}

func (s *site) Watch(context.Context, uint64, time.Duration) (operatorapi.TableChanges, error) {
	if err := s.failure(); err != nil {
		return operatorapi.TableChanges{}, err
	}
	if len(s.watchChanges) == 0 {
		return operatorapi.TableChanges{}, structs.NewError(structs.ErrorUnavailable, "gone", "Ask again.")
	}
	next := s.watchChanges[0]
	s.watchChanges = s.watchChanges[1:]
	return next, nil
}

func (s *site) Members(context.Context) ([]operatorapi.GroupMembers, error) { return s.groups, s.err }

func (s *site) ChangeMember(_ context.Context, change operatorapi.MemberChange) error {
	s.changes = append(s.changes, change)
	return s.err
}

func (s *site) Drain(_ context.Context, request operatorapi.DrainRequest) error {
	s.drains = append(s.drains, request)
	return s.err
}

func (s *site) SaveSnapshot(context.Context, string) ([]byte, error) { return s.snapshot, s.err }

// outcome is the result of a run.
type outcome struct {
	code           int
	output, errors string
}

// run runs lotusferryctl with the service.
func run(service operatorapi.Service, input string, arguments ...string) outcome {
	var output, errors bytes.Buffer
	code := ctl.Run(context.Background(), arguments, ctl.Environment{
		Input:   strings.NewReader(input),
		Output:  &output,
		Errors:  &errors,
		Connect: func(ctl.Options) (operatorapi.Service, error) { return service, nil },
	})
	return outcome{code: code, output: output.String(), errors: errors.String()}
}

// lines joins texts to lines of expected output.
func lines(texts ...string) string { return strings.Join(texts, "\n") + "\n" }

func TestReadCommandsPrintAlignedTables(t *testing.T) {
	tests := []struct{ arguments, want string }{
		{"table get", lines(
			"table revision 7, rows 2", "",
			"name         kind     base        weight  priority  min_replicas  max_replicas  memory  role     objective  revision",
			"code-large   model    -           10      live      1             4             24GiB   answers  -          5",
			"code-review  adapter  code-large  2       batch     0             2             1GiB    answers  idle       7")},
		{"table get code-review --format csv", lines(
			"name,kind,base,weight,priority,min_replicas,max_replicas,memory,role,objective,revision",
			"code-review,adapter,code-large,2,batch,0,2,1GiB,answers,idle,7")},
		{"table history", lines(
			"REVISION  AT                    AUTHOR  ROWS          EDIT  COMMENT",
			"7         2026-05-01T12:00:00Z  ada     code-review   e-7   for the night",
			"6         2026-05-01T11:00:00Z  ines    a,b,c,d,e,+2  e-6   -")},
		{"status", lines(
			"table revision 7", "",
			"ZONE    REVISION  REACHABLE  LEADER    REPLICAS  SURPLUS",
			"sala-a  7         yes        sala-a-1  3         code-large:3/2",
			"sala-b  7         yes        sala-b-2  0         -", "",
			"DAEMON    ZONE    ROLES              ADDRESS        REACHABLE  LEADS      REVISION  DRAIN",
			"sala-a-1  sala-a  router,controller  10.0.0.1:7401  yes        site,zone  7         3 requests left",
			"sala-b-2  sala-b  -                  -              no         zone       0         -")},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			got := run(newSite(), "", strings.Fields(test.arguments)...)
			qt.Check(t, got.code, qt.Equals, ctl.ExitOK, qt.Commentf(got.errors))
			qt.Check(t, got.output, qt.Equals, test.want)
		})
	}
}

func TestJSONOutput(t *testing.T) {
	for _, arguments := range []string{
		"table get", "table history", "status", "drain runner-1", "table delete code-review",
		"table set code-large weight=11 --dry-run", "table set code-large weight=10", "table set code-large weight=heavy",
	} {
		t.Run(arguments, func(t *testing.T) {
			c := qt.New(t)
			got := run(newSite(), "", append(strings.Fields(arguments), "--json")...)
			c.Check(json.Valid([]byte(got.output)), qt.IsTrue, qt.Commentf(got.output))
			c.Check(got.errors, qt.Equals, "")
		})
	}
	failing := &site{err: structs.NewError(structs.ErrorDenied, "no", "Ask.")}
	got := run(failing, "", "status", "--json")
	want := `{"error":{"kind":"denied","message":"no","remedy":"Ask.","exit_code":7}}`
	qt.Check(t, got.errors, qt.JSONEquals, json.RawMessage(want))
}

func TestExitCodeOfEachErrorKind(t *testing.T) {
	tests := map[structs.ErrorKind]int{
		structs.ErrorInvalid: 3, structs.ErrorLimit: 3, structs.ErrorNotFound: 3, structs.ErrorCorrupt: 3,
		structs.ErrorConflict: 4, structs.ErrorUnavailable: 5, structs.ErrorNotLeader: 5,
		structs.ErrorOverloaded: 5, structs.ErrorDeadline: 5, structs.ErrorDenied: 7,
		structs.ErrorInternal: 1, structs.ErrorFenced: 1,
	}
	for kind, code := range tests {
		failing := &site{err: structs.NewError(kind, "it failed", "Do this.")}
		for _, arguments := range []string{"status", "table get", "table history", "drain r", "table set code-large weight=1"} {
			got := run(failing, "", strings.Fields(arguments)...)
			qt.Check(t, got.code, qt.Equals, code, qt.Commentf("%s: %s", kind, arguments))
			qt.Check(t, got.errors, qt.Equals, "lotusferryctl: it failed: Do this.\n")
		}
	}
}

func TestUsageErrors(t *testing.T) {
	for _, arguments := range []string{
		"", "fly", "table", "table get --colour", "drain", "status now", "table set code-large", "table set code-large speed=1",
		"table set code-large revision=9", "table set code-large weight", "table apply none.txt", "table history --limit 0", "table edit --file x.doc",
		"keys issue --ca-folder . --zone z --daemon d --ip host --folder .",
	} {
		got := run(newSite(), "", strings.Fields(arguments)...)
		qt.Check(t, got.code, qt.Equals, ctl.ExitUsage, qt.Commentf("%q: %s", arguments, got.errors))
		qt.Check(t, got.errors, qt.Not(qt.Equals), "")
	}
	help := run(newSite(), "", "--help")
	qt.Check(t, help.code, qt.Equals, ctl.ExitOK)
	qt.Check(t, help.output, qt.Contains, "Available commands")
}

func TestConnectionOptions(t *testing.T) {
	for _, arguments := range []string{
		"status", "status --address host:1 --development", "status --address 10.0.0.1:1 --development", "status --address 127.0.0.1:1",
	} {
		var errors bytes.Buffer
		code := ctl.Run(context.Background(), strings.Fields(arguments), ctl.Environment{Output: &errors, Errors: &errors})
		qt.Check(t, code, qt.Equals, ctl.ExitUsage, qt.Commentf("%s: %s", arguments, errors.String()))
	}
}
