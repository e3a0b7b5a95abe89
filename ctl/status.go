package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

type statusCommand struct {
	invocation *invocation
}

// Execute prints the state of the site.
func (c *statusCommand) Execute([]string) error {
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	status, err := service.Status(ctx)
	if err != nil {
		return err
	}
	if c.invocation.options.JSON {
		return c.invocation.printJSON(status)
	}
	return c.invocation.printStatus(status)
}

func (s *invocation) printStatus(status operatorapi.SiteStatus) error {
	fmt.Fprintf(s.Output, "table revision %d\n\n", status.Revision)
	var zones [][]string
	for _, zone := range status.Zones {
		zones = append(zones, []string{
			string(zone.Zone),
			strconv.FormatUint(zone.TableRevision, 10),
			yesNo(zone.Reachable),
			string(zone.Leader),
			strconv.Itoa(len(zone.Replicas)),
			surplusCell(zone.Surplus),
		})
	}
	if err := s.printTable([]string{"ZONE", "REVISION", "REACHABLE", "LEADER", "REPLICAS", "SURPLUS"}, zones); err != nil {
		return err
	}
	fmt.Fprintln(s.Output)
	var daemons [][]string
	for _, daemon := range status.Daemons {
		daemons = append(daemons, []string{
			string(daemon.Daemon),
			string(daemon.Zone),
			strings.Join(daemon.Roles, ","),
			daemon.Address,
			yesNo(daemon.Reachable),
			leadsCell(daemon),
			strconv.FormatUint(daemon.TableRevision, 10),
			drainCell(daemon),
		})
	}
	return s.printTable([]string{"DAEMON", "ZONE", "ROLES", "ADDRESS", "REACHABLE", "LEADS", "REVISION", "DRAIN"}, daemons)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func leadsCell(daemon operatorapi.DaemonStatus) string {
	var groups []string
	if daemon.LeadsSite {
		groups = append(groups, "site")
	}
	if daemon.LeadsZone {
		groups = append(groups, "zone")
	}
	return strings.Join(groups, ",")
}

// drainCell describes the drain state of the daemon and its remaining requests.
func drainCell(daemon operatorapi.DaemonStatus) string {
	switch {
	case !daemon.Draining:
		return ""
	case daemon.OpenRequests > 0:
		return fmt.Sprintf("%d requests left", daemon.OpenRequests)
	}
	return "drained"
}

// surplusCell lists the rows above their replica limit as row:replicas/limit.
func surplusCell(surplus []structs.RowSurplus) string {
	var parts []string
	for _, row := range surplus {
		parts = append(parts, fmt.Sprintf("%s:%d/%d", row.Row, row.Replicas, row.Limit))
	}
	return strings.Join(parts, ",")
}
