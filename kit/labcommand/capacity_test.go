package labcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/capacity"
)

func runLab(arguments ...string) (code int, output, failures string) {
	var out, errs bytes.Buffer
	code = Run(context.Background(), arguments, Environment{Output: &out, Errors: &errs})
	return code, out.String(), errs.String()
}

func TestCapacityPrintsSlopesAsJSON(t *testing.T) {
	c := qt.New(t)
	code, output, failures := runLab("capacity", "--json", "--role", capacity.RoleEngine)
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf(failures))
	var slopes []capacity.Slope
	c.Assert(json.Unmarshal([]byte(output), &slopes), qt.IsNil)
	c.Assert(len(slopes) > 0, qt.IsTrue)
	for _, slope := range slopes {
		c.Assert(slope.Role, qt.Equals, capacity.RoleEngine)
		c.Assert(len(slope.Sizes) >= 5, qt.IsTrue)
		c.Assert(slope.Verdict != "", qt.IsTrue)
	}
}

func TestCapacityListsRolesOnUnknownRole(t *testing.T) {
	c := qt.New(t)
	code, _, failures := runLab("capacity", "--role", "janitor")
	c.Assert(code, qt.Equals, ExitFailed)
	c.Assert(failures, qt.Contains, capacity.RoleRouter)
}
