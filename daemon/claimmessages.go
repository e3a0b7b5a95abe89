package daemon

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// methodZoneClaims runs claim operations at a zone's leader.
const methodZoneClaims = "Zone.Claims"

// ClaimsArguments carries a holder's claim operations to the leader of the keys' home
// zone, and renews the leases of its claims there.
type ClaimsArguments struct {
	// Renew lists the requests whose claims are renewed.
	Renew []structs.RequestID
	// Command is an encoded zone.Command with a ClaimBatch, whose time is ignored. If
	// empty, the call only renews.
	Command []byte
}

// ClaimsReply has one result per operation, in order. Results of Finish operations omit
// the claim.
type ClaimsReply struct {
	Results []zone.Result
	Error   *structs.Error
}

func (r *ClaimsReply) Failure() *structs.Error { return r.Error }
