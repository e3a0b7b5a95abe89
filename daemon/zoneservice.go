package daemon

import (
	"context"

	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// ZoneService is the net/rpc service of a zone's controller.
type ZoneService struct {
	node *zoneNode
}

// Propose commits a command through the zone log. Only the leader accepts it.
func (s *ZoneService) Propose(arguments ProposeArguments, reply *ZoneReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	result, err := s.node.proposeEncoded(ctx, arguments.Command)
	reply.Result = result
	reply.Error = structs.AsTyped(err)
	return nil
}

// Claims runs a holder's claim operations and renews its claims. It requires the leader
// lease, because a renewal accepted by a stale leader would be unknown to the current
// one.
func (s *ZoneService) Claims(arguments ClaimsArguments, reply *ClaimsReply) error {
	if _, valid := s.node.group.LeaderLease(); !valid {
		reply.Error = s.node.notLeader()
		return nil
	}
	s.node.claims.renew(arguments.Renew, clock.Now())
	if len(arguments.Command) == 0 {
		return nil
	}
	command, err := zone.DecodeCommand(arguments.Command)
	if err != nil {
		reply.Error = structs.AsTyped(err)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	results, err := s.node.claims.submit(ctx, command)
	reply.Error = structs.AsTyped(err)
	for i, result := range results {
		if command.ClaimBatch.Operations[i].Finish != nil {
			result.Claim = nil
		}
		reply.Results = append(reply.Results, result)
	}
	return nil
}

// View returns the changes for a router since the given revisions. Any controller
// replies; one that lags returns the same changes later.
func (s *ZoneService) View(arguments ViewArguments, reply *ViewReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(arguments.Wait, maxWait))
	defer cancel()
	for {
		changed := s.node.machine.changed.wait()
		if !s.node.viewParts.await(ctx, s.sendsPart(arguments)) {
			reply.Error = partsBusy()
			return nil
		}
		s.node.group.View(func() { reply.View = viewFor(s.node.machine.state, arguments) })
		reply.View.Epoch = structs.Epoch(s.node.group.Status().Term)
		if reply.View.HasChanges(arguments.SinceTable) || ctx.Err() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// partsBusy is the refusal of a table part while too many routers read the whole table.
func partsBusy() *structs.Error {
	refusal := structs.NewError(structs.ErrorOverloaded, "too many routers are reading the whole table", "Ask another controller of the zone, or this one later.")
	refusal.RetryAfter = ViewPartInterval
	return refusal
}

// sendsPart reports whether the reply is a part of the whole table.
func (s *ZoneService) sendsPart(arguments ViewArguments) bool {
	var part bool
	s.node.group.View(func() { part = takesPart(s.node.machine.state, arguments) })
	return part
}

func takesPart(state *zone.State, arguments ViewArguments) bool {
	return arguments.Parts && state.AnswersWithPart(arguments.request())
}

func viewFor(state *zone.State, arguments ViewArguments) structs.ZoneView {
	if arguments.Parts {
		return state.ViewFor(arguments.request())
	}
	return state.View(arguments.SinceTable, arguments.SinceIndex)
}

// Demand accepts a router's demand report. Only the leader accepts it.
func (s *ZoneService) Demand(arguments DemandArguments, reply *DemandReply) error {
	status := s.node.group.Status()
	if !status.IsLeader {
		reply.Error = s.node.notLeader()
		return nil
	}
	reply.Epoch = structs.Epoch(status.Term)
	s.node.demand.put(arguments.Report)
	return nil
}

// Reports accepts engine reports relayed by a router for its share. Only the leader
// accepts it.
func (s *ZoneService) Reports(arguments ReportsArguments, reply *ReportsReply) error {
	epoch, valid := s.node.group.LeaderLease()
	share, taken := s.node.observer.handleRelay(epoch, arguments.Relay)
	if !valid || !taken {
		reply.Error = s.node.notLeader()
		return nil
	}
	reply.Share = share
	return nil
}

// Status returns the zone's state as applied by this controller.
func (s *ZoneService) Status(_ StatusArguments, reply *ZoneStatusReply) error {
	status := s.node.group.Status()
	reply.Status = structs.ZoneStatus{
		Zone:      s.node.id,
		Reachable: true,
		Leader:    leadingDaemon(status),
	}
	s.node.group.View(func() {
		state := s.node.machine.state
		reply.Status.TableRevision = state.TableRevision()
		reply.Status.Surplus = state.Surplus()
		for _, replica := range state.Replicas() {
			reply.Status.Replicas = append(reply.Status.Replicas, replica.Replica)
		}
	})
	return nil
}
