package simulate

import (
	"maps"
	"time"

	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// claimService handles claim operations on the leader of a zone, in one lifetime of
// its process.
type claimService struct {
	daemon  *daemon
	renewed map[structs.RequestID]time.Time
	// waiting holds the proposed operations by log index.
	waiting map[uint64]waitingClaim
}

// waitingClaim is an operation proposed in a term.
type waitingClaim struct {
	term   uint64
	answer func(zone.Result)
}

// claimProposal carries a router's claim operation; answer returns its result.
type claimProposal struct {
	operation zone.ClaimOperation
	answer    func(zone.Result)
}

// claimRenewal lists the requests whose claim holder is alive.
type claimRenewal struct{ requests []structs.RequestID }

func newClaimService(d *daemon) *claimService {
	return &claimService{daemon: d, renewed: map[structs.RequestID]time.Time{}, waiting: map[uint64]waitingClaim{}}
}

// leads reports whether the member leads its zone and its lease is valid.
func (c *claimService) leads() bool {
	m := c.daemon.zoneMember
	if m.node == nil {
		return false
	}
	m.catchUp()
	return m.leads() && m.node.LeaseValid()
}

func (c *claimService) propose(proposal claimProposal) {
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

// renew records a renewal if the member leads. The real leader would not know of a
// renewal taken by a stale one.
func (c *claimService) renew(requests []structs.RequestID) {
	if !c.leads() {
		return
	}
	for _, request := range requests {
		c.renewed[request] = c.daemon.now()
	}
}

// renewals returns when each claim was last renewed, without the lapsed ones.
func (c *claimService) renewals() map[structs.RequestID]time.Time {
	now := c.daemon.now()
	lapsed := func(_ structs.RequestID, at time.Time) bool { return now.Sub(at) > 2*requestClaimLease }
	maps.DeleteFunc(c.renewed, lapsed)
	return maps.Clone(c.renewed)
}

// decided answers the operation committed at the index if it is the one that was
// proposed there.
func (c *claimService) decided(entry raft.Entry, result zone.Result) {
	waiting, known := c.waiting[entry.Index]
	delete(c.waiting, entry.Index)
	if known && waiting.term == entry.Term && len(result.Batch) == 1 {
		waiting.answer(result.Batch[0])
	}
}

// claimsDecided passes a committed command to the claim service of the member that
// applied it.
func (s *tableSite) claimsDecided(m *member, entry raft.Entry, outcome zoneOutcome) {
	if d := s.daemonAt(string(m.machine.Address)); d.claims != nil && outcome.err == nil {
		d.claims.decided(entry, outcome.result)
	}
}

// renewals returns the claim renewals for the controller; nil in a site without
// requests.
func (c *zoneController) renewals() map[structs.RequestID]time.Time {
	if c.daemon.claims == nil || c.daemon.site.mutated(mutationNoResolution) {
		return nil
	}
	return c.daemon.claims.renewals()
}

// inquire asks an engine about a request whose router is unresponsive. With
// mutationResolveBlind it reports an unknown state without asking.
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
