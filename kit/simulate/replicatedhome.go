package simulate

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// replicatedHome is a zone's replicated group as seen by one router, which asks the
// last known leader first.
type replicatedHome struct {
	site    *tableSite
	daemons []*daemon
	known   int
}

func newReplicatedHome(site *tableSite, zone structs.ZoneID) *replicatedHome {
	return &replicatedHome{site: site, daemons: site.daemonsOf(zone)}
}

// daemonsOf returns the control machines of a zone.
func (s *tableSite) daemonsOf(zone structs.ZoneID) []*daemon {
	var found []*daemon
	for _, d := range s.daemons {
		if d.machine.Zone == zone {
			found = append(found, d)
		}
	}
	return found
}

// next implements homeGroup.
func (h *replicatedHome) next() groupMember { return claimMember{h.daemons[h.known]} }

// failed implements homeGroup.
func (h *replicatedHome) failed(member groupMember) {
	if member == h.next() {
		h.known = (h.known + 1) % len(h.daemons)
	}
}

// heldClaims implements homeGroup by the state of the leader, if there is one.
func (h *replicatedHome) heldClaims() []structs.Claim {
	leader := h.site.leaderOf(groupName(h.daemons[0].machine.Zone))
	if leader == nil {
		return nil
	}
	return leader.controller.state.HeldClaims()
}

// claimMember is a control machine as a member of a homeGroup.
type claimMember struct{ daemon *daemon }

func (m claimMember) address() Address { return m.daemon.machine.Address }

// propose implements groupMember.
func (m claimMember) propose(operation zone.ClaimOperation, answer func(zone.Result)) {
	m.daemon.machine.deliver(m.address(), claimProposal{operation: operation, answer: answer})
}

// renew implements groupMember.
func (m claimMember) renew(requests []structs.RequestID) {
	m.daemon.machine.deliver(m.address(), claimRenewal{requests})
}
