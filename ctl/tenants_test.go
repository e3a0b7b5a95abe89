package ctl_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
)

const tenantsLog = `level=info ts=2026-03-01T08:00:02Z node=core-1 msg="A tenant stands so." tenant=hot share=3.5 waiting=40 drawn_per_second=105000 used=900000 most=1000000 lent=0 asked=200 refused=150 promised=60
level=info ts=2026-03-01T08:00:00Z node=core-1 msg="A tenant stands so." tenant=hot share=1.1 waiting=0 drawn_per_second=80000 used=600000 most=1000000 lent=5000 asked=100 refused=0 promised=0
level=info ts=2026-03-01T08:00:02Z node=core-1 msg="A tenant stands so." tenant=quiet share=0.4 waiting=0 drawn_per_second=0 used=0 most=0 lent=0 asked=0 refused=0 promised=0
level=info ts=2026-03-01T08:00:02Z node=router-1 msg="A request was refused for its key or limit." request=r1 tenant=hot outcome=over_limit not_logged=3
level=info ts=2026-03-01T08:00:02Z node=router-1 msg="A request was told to come back." request=r2 tenant=quiet outcome=crowded after=1s
`

func TestTenantsPrintsLimitsAndRejections(t *testing.T) {
	c := qt.New(t)
	shown := run(nil, tenantsLog, "tenants")
	c.Assert(shown.code, qt.Equals, ctl.ExitOK, qt.Commentf(shown.errors))
	c.Check(shown.output, qt.Equals, ""+
		"TENANT  AT            SHARE  WAITING  LIMIT    USED    DRAWN/S  ASKED  BEYOND  PROMISED  REFUSED\n"+
		"hot     08:00:02.000  3.50   40       1000000  900000  105000   300    150     60        over_limit:4\n"+
		"quiet   08:00:02.000  0.40   0        -        -       -        -      -       -         crowded:1\n")
	var read struct {
		Tenants []struct {
			Tenant  string
			Refused map[string]int
		}
	}
	c.Assert(json.Unmarshal([]byte(run(nil, tenantsLog, "tenants", "--json").output), &read), qt.IsNil)
	c.Check(read.Tenants[0].Refused, qt.DeepEquals, map[string]int{"over_limit": 4})

	none := run(nil, explainLog, "tenants")
	c.Check(none.code, qt.Equals, ctl.ExitRefused)
	c.Check(none.errors, qt.Contains, "Give the logs of the controllers")
	c.Check(run(nil, "", "tenants", "missing.log").code, qt.Equals, ctl.ExitRefused)
}

func TestExplainPrintsTheStateOfTheTenant(t *testing.T) {
	c := qt.New(t)
	account := run(nil, tenantsLog, "explain", "r1")
	c.Check(account.output, qt.Contains, "tenant hot had 3.5 of its share of the work, 40 of its requests waited, and 900000 of 1000000 of its limit")
	c.Check(run(nil, tenantsLog, "explain", "r2").output, qt.Contains, "its caller was told to come back in 1s")
}
