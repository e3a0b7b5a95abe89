package daemon

import (
	"context"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// zoneNode is this daemon's member of its zone's group.
type zoneNode struct {
	logger  log.Logger
	id      structs.ZoneID
	group   *group.Group
	machine *zoneMachine
	demand  *demandQueue
	claims  *claimBatcher
	// viewParts limits the rate at which parts of the table are sent.
	viewParts viewPartLimiter
	// observer reads the engines' reports while this member leads.
	observer *engineObserver
}

func newZoneNode(logger log.Logger, settings config.Zone, options group.Options) (*zoneNode, error) {
	machine := newZoneMachine(settings.ID)
	options.StateMachine = machine
	member, err := group.New(logger, options)
	if err != nil {
		return nil, errors.Wrap(err, "open the zone group")
	}
	return &zoneNode{
		logger:  log.With(logger, "component", "zone"),
		id:      settings.ID,
		group:   member,
		machine: machine,
		demand:  newDemandQueue(),
	}, nil
}

func (n *zoneNode) propose(ctx context.Context, command zone.Command) (zone.Result, error) {
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		return zone.Result{}, err
	}
	return n.proposeEncoded(ctx, encoded)
}

func (n *zoneNode) proposeEncoded(ctx context.Context, encoded []byte) (zone.Result, error) {
	result, err := n.group.Propose(ctx, encoded)
	if err != nil {
		return zone.Result{}, err
	}
	return result.(zone.Result), nil
}

func (n *zoneNode) tableRevision() uint64 {
	var revision uint64
	n.group.View(func() { revision = n.machine.state.TableRevision() })
	return revision
}

// notLeader returns the refusal of a member that does not lead, with the leader's
// address.
func (n *zoneNode) notLeader() *structs.Error {
	refusal := structs.NewError(structs.ErrorNotLeader, "this controller does not lead the zone", "Ask the zone's leader.")
	refusal.Leader = n.group.Status().LeaderAddress
	return refusal
}
