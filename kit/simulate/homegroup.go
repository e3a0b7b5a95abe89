package simulate

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// homeGroup is the group of a claim's home zone, as seen by routers.
type homeGroup interface {
	// next returns the member to ask next.
	next() groupMember
	// failed records that the member did not answer or does not lead.
	failed(member groupMember)
	// heldClaims returns the claims that have not ended.
	heldClaims() []structs.Claim
}

// groupMember is a member of a homeGroup.
type groupMember interface {
	address() Address
	// propose submits a claim operation. answer is called after the commit, with
	// ErrorNotLeader if the member does not lead, or never.
	propose(operation zone.ClaimOperation, answer func(zone.Result))
	// renew records that the holder of the requests' claims is alive.
	renew(requests []structs.RequestID)
}
