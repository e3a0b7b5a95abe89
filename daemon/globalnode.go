package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// globalNode is this daemon's member of the global group.
type globalNode struct {
	logger  log.Logger
	site    config.Site
	group   *group.Group
	machine *tableMachine
}

// registerInterval is the time between the leader's checks that all zones of the
// settings are registered in the table.
const registerInterval = time.Second

func newGlobalNode(logger log.Logger, site config.Site, options group.Options) (*globalNode, error) {
	machine := newTableMachine()
	options.StateMachine = machine
	member, err := group.New(logger, options)
	if err != nil {
		return nil, errors.Wrap(err, "open the global group")
	}
	return &globalNode{
		logger:  log.With(logger, "component", "global"),
		site:    site,
		group:   member,
		machine: machine,
	}, nil
}

// leadingDaemon returns the daemon that leads a group, or "" if unknown.
func leadingDaemon(status group.Status) structs.DaemonID {
	return structs.DaemonID(status.Names[status.LeaderNode])
}

// registerZones registers missing or changed zones of the settings while this node
// leads.
func (n *globalNode) registerZones(ctx context.Context) {
	for pause.For(ctx, registerInterval) {
		if !n.group.Status().IsLeader {
			continue
		}
		for _, command := range n.missingZones() {
			if _, err := n.propose(ctx, command); err != nil {
				level.Warn(n.logger).Log("msg", "A zone could not be registered in the table.", "zone", command.Zone.Zone, "err", err)
			}
		}
	}
}

func (n *globalNode) missingZones() []table.Command {
	known := map[structs.ZoneID]int{}
	n.group.View(func() {
		for _, zone := range n.machine.state.Zones() {
			known[zone.Zone] = zone.Weight
		}
	})
	var commands []table.Command
	for _, zone := range n.site.Zones {
		weight, registered := known[zone.ID]
		if registered && weight == zone.Weight {
			continue
		}
		commands = append(commands, table.Command{Zone: &table.ZoneCommand{Zone: zone.ID, Weight: zone.Weight}})
	}
	return commands
}

func (n *globalNode) propose(ctx context.Context, command table.Command) (table.Result, error) {
	encoded, err := table.EncodeCommand(command)
	if err != nil {
		return table.Result{}, err
	}
	return n.proposeEncoded(ctx, encoded)
}

func (n *globalNode) proposeEncoded(ctx context.Context, encoded []byte) (table.Result, error) {
	result, err := n.group.Propose(ctx, encoded)
	if err != nil {
		return table.Result{}, err
	}
	return result.(table.Result), nil
}
