package simulate

import (
	"maps"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// claimDesk takes in the claim operations for a zone on its leader, in one life of
// its process.
type claimDesk struct {
	daemon  *daemon
	renewed map[structs.RequestID]time.Time
	// waiting holds the operations that are proposed, by their index in the log.
	waiting map[uint64]waitingClaim
}

// waitingClaim is an operation that was proposed in a term.
type waitingClaim struct {
	term   uint64
	answer func(zone.Result)
}

// claimProposal carries a claim operation of a router. answer sends the result back.
type claimProposal struct {
	operation zone.ClaimOperation
	answer    func(zone.Result)
}

// claimRenewal carries the requests whose claims' holder lives.
type claimRenewal struct{ requests []structs.RequestID }

func newClaimDesk(d *daemon) *claimDesk {
	return &claimDesk{daemon: d, renewed: map[structs.RequestID]time.Time{}, waiting: map[uint64]waitingClaim{}}
}

// leads reports whether the desk's member leads its zone and trusts its lease.
func (c *claimDesk) leads() bool {
	m := c.daemon.zoneMember
	if m.node == nil {
		return false
	}
	m.catchUp()
	return m.leads() && m.node.LeaseValid()
}

func (c *claimDesk) propose(proposal claimProposal) {
	if !c.leads() {
		proposal.answer(zone.Result{Error: structs.NewError(structs.ErrorNotLeader, "this member does not lead", "Ask another one.")})
		return
	}
	if begin := proposal.operation.Begin; begin != nil {
		c.renew([]structs.RequestID{begin.Request})
	}
	m := c.daemon.zoneMember
	batch := &zone.ClaimBatchCommand{At: c.daemon.now(), Operations: []zone.ClaimOperation{proposal.operation}}
	encoded, err := zone.EncodeCommand(zone.Command{ClaimBatch: batch})
	if err != nil {
		c.daemon.site.memberFailed(m, "encode a claim operation", err)
		return
	}
	if index, ok := m.propose(encoded); ok {
		c.waiting[index] = waitingClaim{term: m.node.Term(), answer: proposal.answer}
		m.pump()
	}
}

// renew takes in a renewal, if the member leads: one that a stale leader took would
// be unknown to the real one.
func (c *claimDesk) renew(requests []structs.RequestID) {
	if !c.leads() {
		return
	}
	for _, request := range requests {
		c.renewed[request] = c.daemon.now()
	}
}

// renewals tells when each request's claim was last renewed.
func (c *claimDesk) renewals() map[structs.RequestID]time.Time {
	now := c.daemon.now()
	lapsed := func(_ structs.RequestID, at time.Time) bool { return now.Sub(at) > 2*requestClaimLease }
	maps.DeleteFunc(c.renewed, lapsed)
	return maps.Clone(c.renewed)
}

// decided answers the operation that was committed at the index, if it is the one
// that was proposed there.
func (c *claimDesk) decided(entry raft.Entry, result zone.Result) {
	waiting, known := c.waiting[entry.Index]
	delete(c.waiting, entry.Index)
	if known && waiting.term == entry.Term && len(result.Batch) == 1 {
		waiting.answer(result.Batch[0])
	}
}

// claimsDecided hands a committed command to the desk of the member that applied it.
func (s *tableSite) claimsDecided(m *member, entry raft.Entry, outcome zoneOutcome) {
	if d := s.daemonAt(string(m.machine.Address)); d.claims != nil && outcome.err == nil {
		d.claims.decided(entry, outcome.result)
	}
}

// renewals is what the controller is told of claims; nil in a site without requests.
func (c *zoneController) renewals() map[structs.RequestID]time.Time {
	if c.daemon.claims == nil || c.daemon.site.mutated(mutationNoResolution) {
		return nil
	}
	return c.daemon.claims.renewals()
}

// inquire asks an engine about a request whose router is silent; a mutation answers
// in the engine's stead.
func (c *zoneController) inquire(inquiry controller.Inquiry) {
	d := c.daemon
	observe := func(status structs.RequestStatus) {
		c.core.ObserveInquiry(controller.InquiryReply{Inquiry: inquiry, Status: status})
	}
	if d.site.mutated(mutationResolveBlind) {
		claim, _ := c.state.Claim(inquiry.Key)
		observe(structs.RequestStatus{ID: inquiry.Request, State: structs.RunUnknown, Incarnation: claim.Incarnation})
		return
	}
	life := d.machine.life
	d.site.requests.inquire(d.machine.Address, inquiry, func(status structs.RequestStatus) {
		if d.machine.alive && d.machine.life == life {
			d.machine.execute(func() { observe(status) })
		}
	})
}
