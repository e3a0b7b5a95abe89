package ctl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

const header = "name,kind,base,weight,priority,min_replicas,max_replicas,memory,role,objective,revision\n"

func TestTableCommandsApplyChanges(t *testing.T) {
	const file = header +
		"code-large,model,,12,live,1,4,24GiB,answers,,5\n" +
		"code-small,model,,1,standard,0,1,8GiB,answers,,\n"
	tests := []struct {
		name      string
		arguments string
		input     string
		code      int
		output    string // a pattern
		changes   int    // in the applied edits
	}{
		{"dry run", "apply - --format csv --prune --dry-run", file, ctl.ExitOK, lines(
			"CHANGE  ROW          COLUMN        FROM  TO",
			"change  code-large   weight        10    12",
			"add     code-small   kind          -     model",
			"add     code-small   weight        -     1",
			"add     code-small   priority      -     standard",
			"add     code-small   min_replicas  -     0",
			"add     code-small   max_replicas  -     1",
			"add     code-small   memory        -     8GiB",
			"add     code-small   role          -     answers",
			"delete  code-review  -             -     -",
			"dry run: the edit would be accepted, rows 3"), 0},
		{"apply", "apply - --format csv", file, ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 2},
		{"prune", "apply - --format csv --prune", file, ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 3},
		{"same table", "set code-large weight=10", "", ctl.ExitOK, "no changes: the table at revision 7 is up to date\n", 0},
		{"set with a unit", "set code-large memory=32GiB priority=standard", "", ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 1},
		{"set a new row", "set code-tiny role=search memory=1GiB max_replicas=1", "", ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 1},
		{"set a bad value", "set code-large weight=heavy", "", ctl.ExitRefused, `ROW +COLUMN +VALUE +PROBLEM +REMEDY\ncode-large +weight +heavy .*\n`, 0},
		{"delete", "delete code-review", "", ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 1},
		{"delete all rows", "delete code-large code-review", "", ctl.ExitRefused, "", 0},
		{"delete all rows with --allow-empty", "delete code-large code-review --allow-empty", "", ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 2},
		{"delete an unknown row", "delete none", "", ctl.ExitRefused, "", 0},
		{"expected revision", "set code-large weight=1 --expect-revision 7", "", ctl.ExitOK, "accepted at revision 8, edit .{36}\n", 1},
		{"other revision", "set code-large weight=1 --expect-revision 6", "", ctl.ExitConflict, "", 0},
		{"row of an older revision", "apply - --format csv", strings.Replace(file, ",5\n", ",4\n", 1), ctl.ExitConflict,
			`ROW +SEEN REVISION +REVISION NOW\ncode-large +4 +5\n`, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			service := newSite()
			got := run(service, test.input, append([]string{"table"}, strings.Fields(test.arguments)...)...)
			c.Check(got.code, qt.Equals, test.code, qt.Commentf(got.errors))
			c.Check(got.output, qt.Matches, test.output)
			made := 0
			for _, edit := range service.applied {
				made += len(edit.Changes)
			}
			c.Check(made, qt.Equals, test.changes)
		})
	}
}

func TestRejectedEditListsProblems(t *testing.T) {
	c := qt.New(t)
	service := newSite()
	service.problems = []structs.RowProblem{{Row: "code-large", Column: "weight", Value: "2000", Problem: "is out of range", Remedy: "Write 1 to 1000."}}
	got := run(service, "", "table", "set", "code-large", "weight=2000")
	c.Check(got.code, qt.Equals, ctl.ExitRefused)
	c.Check(got.output, qt.Equals, lines(
		"ROW         COLUMN  VALUE  PROBLEM          REMEDY",
		"code-large  weight  2000   is out of range  Write 1 to 1000."))
	c.Check(got.errors, qt.Contains, "changed nothing")

	service.problems[0].Column = "memory_bytes" // the field name of column "memory"
	c.Check(run(service, "", "table", "set", "code-large", "memory=0").output, qt.Contains, "code-large  memory  2000")
}

func TestApplySendsNothingIfAValueCannotBeParsed(t *testing.T) {
	c := qt.New(t)
	service := newSite()
	file := "name,kind,weight,priority,max_replicas,memory,role\n" +
		"code-small,model,1,live,1,8GiB,answers\n" +
		"code-tiny,model,1,urgent,1,1GiB,answers\n"
	got := run(service, file, "table", "apply", "-", "--format", "csv")
	c.Check(got.code, qt.Equals, ctl.ExitRefused)
	c.Check(got.output, qt.Equals, lines(
		"ROW        COLUMN    VALUE   PROBLEM            REMEDY",
		"code-tiny  priority  urgent  is not a priority  Use batch, standard or live."))
	c.Check(got.errors, qt.Contains, "nothing was changed")
	c.Check(service.applied, qt.HasLen, 0)
}

func TestRetriesKeepTheEditID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := newSite()
		service.lostResponses = 2
		got := run(service, "", "table", "set", "code-large", "weight=3")
		c.Assert(got.code, qt.Equals, ctl.ExitOK)
		c.Assert(service.applied, qt.HasLen, 3)
		for _, edit := range service.applied {
			c.Check(edit, qt.DeepEquals, service.applied[0])
		}
		c.Check(service.applied[0].ID, qt.Not(qt.Equals), structs.EditID(""))
	})
}

func TestUnknownOutcomeNamesTheEditID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := newSite()
		service.lostResponses = 1 << 20
		got := run(service, "", "table", "set", "code-large", "weight=3", "--edit-id", "edit-1", "--timeout", "20s")
		c.Check(got.code, qt.Equals, ctl.ExitUnavailable)
		c.Check(got.errors, qt.Matches, "lotusferryctl: the outcome of the edit is unknown .*--edit-id edit-1,.*\n")
		c.Check(service.applied[0].ID, qt.Equals, structs.EditID("edit-1"))
	})
}

func TestDeniedEditIsNotRetried(t *testing.T) {
	c := qt.New(t)
	service := newSite()
	service.failures = []error{structs.NewError(structs.ErrorDenied, "no", "Ask.")}
	got := run(service, "", "table", "set", "code-large", "weight=3")
	c.Check(got.code, qt.Equals, ctl.ExitDenied)
	c.Check(service.applied, qt.HasLen, 0)
}

func TestWaitReturnsWhenZonesAreCurrent(t *testing.T) {
	tests := []struct {
		name   string
		lag    int
		code   int
		output string
		errors string
	}{
		{"at once", 0, ctl.ExitOK, "accepted at revision 8, in force in every zone, edit .*\n", ""},
		{"later", 5, ctl.ExitOK, "accepted at revision 8, in force in every zone, edit .*\n", ""},
		{"never", 1 << 20, ctl.ExitWaitTimedOut, "accepted at revision 8, edit .*\n",
			`lotusferryctl: .*outstanding: sala-b at revision 7 \(not reachable\)\).*\n`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				service := newSite()
				service.statusCallsBehind = test.lag
				got := run(service, "", "table", "set", "code-large", "weight=3", "--wait", "--wait-timeout", "1m")
				c.Check(got.code, qt.Equals, test.code)
				c.Check(got.output, qt.Matches, test.output)
				c.Check(got.errors, qt.Matches, test.errors)
			})
		})
	}
}

// interactiveEditor is the standard input of `table edit`. Each read applies one step to
// the file and returns a line that confirms it, or "q" after the last step.
type interactiveEditor struct {
	c     *qt.C
	path  string
	steps []func(string) string
}

// Read implements io.Reader.
func (e *interactiveEditor) Read(buffer []byte) (int, error) {
	if len(e.steps) == 0 {
		return copy(buffer, "q\n"), nil
	}
	content, err := os.ReadFile(e.path)
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(os.WriteFile(e.path, []byte(e.steps[0](string(content))), 0o600), qt.IsNil)
	e.steps = e.steps[1:]
	return copy(buffer, "\n"), nil
}

func TestTableEditRepeatsUntilTheFileIsValid(t *testing.T) {
	replace := func(old, new string) func(string) string {
		return func(content string) string { return strings.Replace(content, old, new, 1) }
	}
	tests := []struct {
		name    string
		steps   []func(string) string
		code    int
		changes int
		kept    bool // whether the file is kept
	}{
		{"quit", nil, ctl.ExitOK, 0, true},
		{"one change", []func(string) string{replace(",10,", ",11,")}, ctl.ExitOK, 1, false},
		{"line removed", []func(string) string{replace("code-review,adapter,code-large,2,batch,0,2,1GiB,answers,idle,7\n", "")}, ctl.ExitOK, 1, false},
		{"corrected", []func(string) string{replace(",10,", ",heavy,"), replace(",heavy,", ",11,")}, ctl.ExitOK, 1, false},
		{"conflicting change", []func(string) string{replace(",answers,,5", ",search,,4")}, ctl.ExitConflict, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			service := newSite()
			path := filepath.Join(c.TempDir(), "table.csv")
			var output, errors strings.Builder
			code := ctl.Run(t.Context(), []string{"table", "edit", "--file", path}, ctl.Environment{
				Input:   &interactiveEditor{c: c, path: path, steps: test.steps},
				Output:  &output,
				Errors:  &errors,
				Connect: func(ctl.Options) (operatorapi.Service, error) { return service, nil },
			})
			c.Check(code, qt.Equals, test.code, qt.Commentf(errors.String()))
			made := 0
			for _, edit := range service.applied {
				made += len(edit.Changes)
			}
			c.Check(made, qt.Equals, test.changes)
			_, err := os.Stat(path)
			c.Check(err == nil, qt.Equals, test.kept)
		})
	}
}

func TestWatchPrintsChangesUntilNoDaemonResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newSite()
		changed := newSite().table.Rows
		changed[0].Weight = 20
		revision := service.table.Revision
		service.watchChanges = []operatorapi.TableChanges{
			{Since: revision, Revision: revision},
			{Since: revision, Revision: 8, Rows: changed[:1]},
			{Since: 8, Revision: 9, Deleted: []structs.RowName{changed[1].Name}},
		}
		service.failures = []error{structs.NewError(structs.ErrorUnavailable, "no leader", "Wait.")}
		got := run(service, "", "table", "watch")
		qt.Check(t, got.code, qt.Equals, ctl.ExitUnavailable)
		qt.Check(t, got.output, qt.Equals, lines(
			"table revision 8",
			"CHANGE  ROW         COLUMN  FROM  TO",
			"change  code-large  weight  10    20",
			"table revision 9",
			"CHANGE  ROW          COLUMN  FROM  TO",
			"delete  code-review  -       -     -"))
	})
}
