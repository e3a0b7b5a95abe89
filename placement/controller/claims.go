package controller

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// Defaults of the claim options.
const (
	// DefaultClaimLease is how long a claim is valid without a renewal. Its holder renews
	// it several times in that period.
	DefaultClaimLease = 10 * time.Second
	// DefaultInquiryLimit is how long after the choice of a runner its engine's statement
	// that it does not know the request is trusted. It is less than half of
	// engineapi.IDRetention, which leaves room for clock differences and delayed requests.
	DefaultInquiryLimit = 7 * time.Minute
)

// Inquiry asks an engine about a request whose claim is no longer renewed. It sets the
// cancel flag, so that the engine rejects the request from then on.
type Inquiry struct {
	Key    structs.ClaimKey
	Choice uint64
	// Address is the engine's address, Request its ID of the attempt.
	Address string
	Request structs.RequestID
}

// InquiryReply is an engine's answer to an Inquiry.
type InquiryReply struct {
	Inquiry Inquiry
	Status  structs.RequestStatus
}

// pendingInquiry is an inquiry that this leader sent, with its reply if any.
type pendingInquiry struct {
	inquiry Inquiry
	sentAt  time.Time
	status  *structs.RequestStatus
}

// ObserveInquiry records an engine's reply for the next Decide. An inquiry without a
// reply is sent again.
func (c *Core) ObserveInquiry(reply InquiryReply) {
	known, open := c.inquiries[reply.Inquiry.Key]
	if !open || known.inquiry != reply.Inquiry || reply.Status.ID != reply.Inquiry.Request {
		return
	}
	known.status = &reply.Status
	c.inquiries[reply.Inquiry.Key] = known
}

// resolveClaims ends the claims whose lease has expired: the holder died, or never learned
// that a delayed command of its own made them. A wrong suspicion may abort a request, but
// never runs one twice: a claim that ends as not run also makes the zone reject the
// holder's next choice, and the engine the request.
func (d *decider) resolveClaims() {
	if d.input.Renewed == nil || d.input.Now.Sub(d.core.leaderSince) < d.core.options.ClaimLease {
		return
	}
	open := map[structs.ClaimKey]pendingInquiry{}
	for _, claim := range d.input.State.HeldClaims() {
		if d.leaseExpired(claim) {
			d.resolveClaim(claim, open)
		}
	}
	d.core.inquiries = open
}

// leaseExpired reports whether the claim's lease has expired. The lease of a claim without
// a renewal under this leader began when the leader's term did.
func (d *decider) leaseExpired(claim structs.Claim) bool {
	renewed, known := d.input.Renewed[claim.Request]
	return !known || d.input.Now.Sub(renewed) >= d.core.options.ClaimLease
}

// resolveClaim ends the claim if its outcome is certain, or else adds its inquiry to open.
func (d *decider) resolveClaim(claim structs.Claim, open map[structs.ClaimKey]pendingInquiry) {
	if claim.Runner == "" {
		d.endClaim(claim, structs.ClaimReleased)
		return
	}
	inquiry := Inquiry{Key: claim.Key, Choice: claim.Choice, Address: claim.Address, Request: claim.EngineRequest}
	known := d.core.inquiries[claim.Key]
	if known.inquiry != inquiry {
		known = pendingInquiry{inquiry: inquiry}
	}
	if end := d.claimOutcome(claim, known.status); end != structs.ClaimHeld {
		d.endClaim(claim, end)
		return
	}
	if known.sentAt.IsZero() || !d.withinResendInterval(known.sentAt) {
		known.sentAt = d.input.Now
		known.status = nil
		d.decisions.Inquiries = append(d.decisions.Inquiries, inquiry)
	}
	open[claim.Key] = known
}

// claimOutcome returns the final state of the claim, or ClaimHeld while its engine must
// still be asked. A request that ran ends as unknown, since its answer is lost with its
// holder.
func (d *decider) claimOutcome(claim structs.Claim, status *structs.RequestStatus) structs.ClaimState {
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
