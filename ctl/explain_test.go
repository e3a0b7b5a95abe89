package ctl_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
)

const explainLog = `level=info ts=2026-03-01T08:00:02Z node=router-1 component=router msg="A request was answered without a runner's success." request=r1 model=m age=2s outcome=no_runner
level=info ts=2026-03-01T08:00:03Z node=core-1 msg="An order was answered." runner=i-1 operation=load model=m adapter= outcome=accepted
`

func TestExplainReadsFilesOrStandardInput(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "router.log")
	c.Assert(os.WriteFile(path, []byte(explainLog), 0o600), qt.IsNil)
	fromFile := run(nil, "", "explain", "r1", path)
	c.Assert(fromFile.code, qt.Equals, ctl.ExitOK, qt.Commentf(fromFile.errors))
	c.Check(fromFile.output, qt.Contains, `At +3.000 s a load of m on i-1 was answered with "accepted".`)
	c.Check(run(nil, explainLog, "explain", "r1").output, qt.Equals, fromFile.output)

	var account struct {
		Outcome string `json:"outcome"`
		Read    struct {
			Lines int `json:"lines"`
		} `json:"read"`
	}
	c.Assert(json.Unmarshal([]byte(run(nil, explainLog, "explain", "r1", "--json").output), &account), qt.IsNil)
	c.Check(account.Outcome, qt.Equals, "no_runner")
	c.Check(account.Read.Lines, qt.Equals, 2)

	c.Check(run(nil, explainLog, "explain", "r2").code, qt.Equals, ctl.ExitRefused)
	c.Check(run(nil, "", "explain", "r1", path+".missing").code, qt.Equals, ctl.ExitRefused)
	c.Check(run(nil, "", "explain").code, qt.Equals, ctl.ExitUsage)
}
