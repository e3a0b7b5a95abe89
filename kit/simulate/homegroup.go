package simulate

import (
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/structs"
)

// homeGroup is a zone's group as routers see it: the home of claims.
type homeGroup interface {
	// next returns the member that a router asks next.
	next() groupMember
	// failed notes that the member did not answer, or does not lead.
	failed(member groupMember)
	// heldClaims lists the claims that nobody has ended.
	heldClaims() []structs.Claim
}

// groupMember is a member of a homeGroup.
type groupMember interface {
	address() Address
	// propose takes a claim operation; answer is called once it is committed, or with
	// an ErrorNotLeader by a member that does not lead, and never if neither happens.
	propose(operation zone.ClaimOperation, answer func(zone.Result))
	// renew takes in that the holder of the requests' claims lives.
	renew(requests []structs.RequestID)
}
