package daemon

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// methodZoneClaims is the method of a zone's leader for claims.
const methodZoneClaims = "Zone.Claims"

// ClaimsArguments brings a holder's claim operations to the leader of their keys'
// home zone, and renews the leases of its claims there.
type ClaimsArguments struct {
	// Renew names the requests whose claims are renewed.
	Renew []structs.RequestID
	// Command is an encoded zone.Command with a ClaimBatch; its time is not read.
	// Without one the call only renews.
	Command []byte
}

// ClaimsReply has one result for each operation, in their order. The results of
// ended claims leave the claim out.
type ClaimsReply struct {
	Results []zone.Result
	Error   *structs.Error
}

func (r *ClaimsReply) Failure() *structs.Error { return r.Error }
