package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lotusferry/lotusferry/request/explain"
	"github.com/lotusferry/lotusferry/structs"
)

type tenantsCommand struct {
	invocation *invocation
	Arguments  struct {
		Files []string `positional-arg-name:"FILE" description:"logs of the processes; the input if none is named"`
	} `positional-args:"yes"`
}

// tenantsOutput is the JSON output of tenants.
type tenantsOutput struct {
	Tenants []explain.Tenant `json:"tenants"`
	Read    explain.Stats    `json:"read"`
}

// Execute prints the limits, shares and rejections of tenants from logs.
func (c *tenantsCommand) Execute([]string) error {
	lines, stats, err := readLogs(c.invocation, c.Arguments.Files)
	if err != nil {
		return err
	}
	tenants := explain.Tenants(lines)
	if len(tenants) == 0 {
		return structs.NewError(structs.ErrorNotFound, "the logs contain no lines about tenants",
			"Give the logs of the controllers, and those of the routers for the reasons of rejections.")
	}
	if c.invocation.options.JSON {
		return c.invocation.printJSON(tenantsOutput{tenants, stats})
	}
	rows := make([][]string, 0, len(tenants))
	for _, tenant := range tenants {
		rows = append(rows, tenantRow(tenant))
	}
	return c.invocation.printTable([]string{"TENANT", "AT", "SHARE", "WAITING", "LIMIT", "USED", "DRAWN/S", "ASKED", "BEYOND", "PROMISED", "REFUSED"}, rows)
}

func tenantRow(tenant explain.Tenant) []string {
	var refused []string
	for outcome, count := range tenant.Refused {
		refused = append(refused, fmt.Sprintf("%s:%d", outcome, count))
	}
	slices.Sort(refused)
	row := []string{tenant.Name, "", "", "", "", "", "", "", "", "", strings.Join(refused, " ")}
	if tenant.At.IsZero() {
		return row
	}
	row[1], row[2], row[3] = tenant.At.Format("15:04:05.000"), strconv.FormatFloat(tenant.Share, 'f', 2, 64), strconv.Itoa(tenant.Waiting)
	if tenant.Most > 0 {
		row[4], row[5] = strconv.Itoa(tenant.Most), strconv.Itoa(tenant.Used)
		row[6], row[7] = strconv.Itoa(tenant.DrawnPerSecond), strconv.Itoa(tenant.Asked)
		row[8], row[9] = strconv.Itoa(tenant.LimitRefused), strconv.Itoa(tenant.Promised)
	}
	return row
}
