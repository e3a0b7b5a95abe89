package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// The defaults of Options about claims.
const (
	// DefaultClaimLease is how long a claim is kept without a renewal. Its holder
	// renews it several times in that time.
	DefaultClaimLease = 10 * time.Second
	// DefaultInquiryLimit is how long after the choice of a runner its engine can
	// be asked what became of the request. It is less than half of the time for which
	// engines remember request IDs (engineapi.IDRetention), so that clocks that
	// differ and a request that is long on its way do no harm.
	DefaultInquiryLimit = 7 * time.Minute
)

// Inquiry asks an engine about a request whose claim is no longer renewed. The engine is
// asked with the cancel flag, so that it refuses the request from then on.
type Inquiry struct {
	Key    structs.ClaimKey
	Choice uint64
	// Address is the engine's, Request the ID under which it knows the attempt.
	Address string
	Request structs.RequestID
}

// InquiryReply is an engine's answer to an Inquiry.
type InquiryReply struct {
	Inquiry Inquiry
	Status  structs.RequestStatus
}

// inquired is an inquiry that this leader sent and what came of it.
type inquired struct {
	inquiry Inquiry
	sentAt  time.Time
	status  *structs.RequestStatus
}

// ObserveInquiry takes in an engine's answer; the next Decide acts on it. An
// inquiry without an answer is sent again.
func (c *Core) ObserveInquiry(reply InquiryReply) {
	known, open := c.inquiries[reply.Inquiry.Key]
	if !open || known.inquiry != reply.Inquiry || reply.Status.ID != reply.Inquiry.Request {
		return
	}
	known.status = &reply.Status
	c.inquiries[reply.Inquiry.Key] = known
}

// resolveClaims ends the claims that were not renewed for longer than the lease:
// their holder died, or never knew that a late command of its own made them. A wrong suspicion may cut a request, and never runs one twice: what ends
// a claim as not run also makes the zone refuse the holder's next choice and the
// engine the request itself.
func (d *decider) resolveClaims() {
	if d.input.Renewed == nil || d.input.Now.Sub(d.core.leadFrom) < d.core.options.ClaimLease {
		return
	}
	open := map[structs.ClaimKey]inquired{}
	for _, claim := range d.input.State.HeldClaims() {
		if d.lapsed(claim) {
			d.resolveClaim(claim, open)
		}
	}
	d.core.inquiries = open
}

// lapsed reports whether the claim's lease has run out. A claim that this leader
// never heard of has had its lease since the leader began to lead.
func (d *decider) lapsed(claim structs.Claim) bool {
	renewed, known := d.input.Renewed[claim.Request]
	return !known || d.input.Now.Sub(renewed) >= d.core.options.ClaimLease
}

// resolveClaim ends the claim if its outcome is certain, or adds to open what
// must be asked.
func (d *decider) resolveClaim(claim structs.Claim, open map[structs.ClaimKey]inquired) {
	if claim.Runner == "" {
		d.endClaim(claim, structs.ClaimReleased)
		return
	}
	inquiry := Inquiry{Key: claim.Key, Choice: claim.Choice, Address: claim.Address, Request: claim.EngineRequest}
	known := d.core.inquiries[claim.Key]
	if known.inquiry != inquiry {
		known = inquired{inquiry: inquiry}
	}
	if end := d.judge(claim, known.status); end != structs.ClaimHeld {
		d.endClaim(claim, end)
		return
	}
	if known.sentAt.IsZero() || !d.recent(known.sentAt) {
		known.sentAt = d.input.Now
		known.status = nil
		d.decisions.Inquiries = append(d.decisions.Inquiries, inquiry)
	}
	open[claim.Key] = known
}

// judge returns how a claim ends by what is known, or ClaimHeld while its engine
// must still be asked. The answer of a request that ran is lost with its holder.
func (d *decider) judge(claim structs.Claim, status *structs.RequestStatus) structs.ClaimState {
	inTime := d.input.Now.Sub(claim.ChosenAt) < d.core.options.InquiryLimit
	runner, known := d.input.State.Runner(claim.Runner)
	restarted := known && (runner.Incarnation > claim.Incarnation || (runner.Gone && runner.Incarnation == claim.Incarnation))
	switch {
	case status == nil && (restarted || !inTime):
		return structs.ClaimUnknown
	case status == nil:
		return structs.ClaimHeld
	case status.Incarnation != claim.Incarnation:
		return structs.ClaimUnknown
	case status.Started || status.Tokens > 0:
		return structs.ClaimUnknown
	case status.State == structs.RunCancelled:
		return structs.ClaimReleased
	case status.State == structs.RunUnknown && inTime:
		return structs.ClaimReleased
	case status.State == structs.RunQueued || status.State == structs.RunRunning:
		// The engine has not acknowledged the cancellation yet.
		return structs.ClaimHeld
	}
	return structs.ClaimUnknown
}

func (d *decider) endClaim(claim structs.Claim, end structs.ClaimState) {
	command := &zone.ClaimFinishCommand{Key: claim.Key, Request: claim.Request, Resolve: true, Choice: claim.Choice}
	if end == structs.ClaimReleased {
		command.NotRun = true
	} else {
		command.State = end
	}
	d.propose(zone.Command{ClaimFinish: command})
}
