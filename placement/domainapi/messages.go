// Package domainapi holds the messages that the processes of one placement domain
// exchange over net/rpc: controllers among themselves, and routers with the leader of
// the controllers.
package domainapi

import (
	"time"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/structs"
)

// ServiceName is the net/rpc service of every controller.
const ServiceName = "Domain"

// The methods of the service. All but Describe and Found are answered by the leader;
// others refuse with ErrorNotLeader, which names the leader if it is known.
const (
	MethodDescribe   = ServiceName + ".Describe"
	MethodFound      = ServiceName + ".Found"
	MethodJoin       = ServiceName + ".Join"
	MethodStopping   = ServiceName + ".Stopping"
	MethodHeartbeats = ServiceName + ".Heartbeats"
	MethodDepart     = ServiceName + ".Depart"
	MethodPut        = ServiceName + ".Put"
	MethodRead       = ServiceName + ".Read"
	MethodWatch      = ServiceName + ".Watch"
	MethodDemand     = ServiceName + ".Demand"
	MethodDraw       = ServiceName + ".Draw"
	MethodTry        = ServiceName + ".Try"
	MethodDrain      = ServiceName + ".Drain"
	MethodDrained    = ServiceName + ".Drained"
	MethodWarmUp     = ServiceName + ".WarmUp"
)

// Reply carries a typed error, because net/rpc itself carries only strings.
type Reply struct{ Error *structs.Error }

// Failure implements leadercall.Reply.
func (r *Reply) Failure() *structs.Error { return r.Error }

// DescribeArguments ask a controller about its member of the group.
type DescribeArguments struct{}

// DescribeReply describes a member of the group.
type DescribeReply struct {
	Reply
	Member group.Member
	// Held members belong to no group yet.
	Held bool
	// Voters are those of the membership in force at the member, with addresses.
	Voters []group.Member
	// Committed is the membership at the applied index; HasLeader tells whether the
	// member follows or is a leader.
	Committed raft.Membership
	Applied   uint64
	HasLeader bool
	// HasOrdered is set if the process has sent orders to runners and may send more, and
	// SinceOrder is how long ago it sent the last.
	HasOrdered bool
	SinceOrder time.Duration
}

// FoundArguments give a member the founding members of a new group.
type FoundArguments struct{ Members []group.Member }

// JoinArguments ask the leader to take a member into the group.
type JoinArguments struct{ Member group.Member }

// StoppingArguments tell the leader that a member makes a planned stop.
type StoppingArguments struct{ Node raft.NodeID }

// HeartbeatsArguments pass on heartbeats of runners.
type HeartbeatsArguments struct{ Heartbeats []fleet.Heartbeat }

// DepartArguments pass on that a runner is leaving or gone.
type DepartArguments struct {
	// Departure names the runner by its ID.
	Departure domain.Departure
	// Born tells which life of the runner departs, in Unix milliseconds; 0 for the latest that is known.
	Born int64
}

// PutArguments pass on a valid document.
type PutArguments struct{ Document domain.Document }

// DrainArguments pass on an operator's order about a zone.
type DrainArguments struct{ Drain domain.ZoneDrain }

// DrainedReply lists the drained zones, sorted.
type DrainedReply struct {
	Reply
	Zones []string
}

// ReadArguments ask for the document in force.
type ReadArguments struct{}

// DocumentReply carries a document.
type DocumentReply struct {
	Reply
	Document domain.Document
}

// WatchArguments ask for what has changed since what a router knows.
type WatchArguments struct {
	Router string
	// Version is that of the document that the router works by; 0 for none.
	Version uint64
	// Term and Revision name the view that the router knows.
	Term     uint64
	Revision uint64
	// Suspects is the revision of the list of suspects that the router knows of the term.
	Suspects uint64
	// MaxHold is the longest that the router waits for a reply; 0 for one of the version before, which waits
	// for LeastHold.
	MaxHold time.Duration
}

const (
	// LeastHold is the shortest time that a leader holds a watch without news. MostHold is the longest: the loss
	// of a leader is noticed some time after it.
	LeastHold = 500 * time.Millisecond
	MostHold  = time.Second
)

// WatchReply comes when something has changed, or after Hold.
type WatchReply struct {
	Reply
	Term     uint64
	Revision uint64
	// Hold is how long the leader holds the next watch without news; 0 from one of the version before.
	Hold time.Duration
	// Document is nil if the router's is in force.
	Document *domain.Document
	// Confirmed is the version of the document that was the newest at some time after the
	// router asked; 0 from a leader that does not say, which confirms nothing.
	Confirmed uint64
	// View is nil if the router's is in force.
	View *fleet.EncodedView
	// Loads lists the runners with many requests, of all routers together.
	Loads []fleet.Load
	// Suspects lists the requests that may crash runners; nil if the router knows the list.
	Suspects *poison.List
	// Shares names the tenants that are above their shares over all routers.
	Shares shares.Word
	// Routers is how many routers share what the leader grants to all together.
	Routers int
	// Controllers are the addresses of the members of the group.
	Controllers []string
}

// DemandArguments report what a router saw since its last report.
type DemandArguments struct {
	Router string
	// Zone is that of the router; empty if it has none, or is of a version before.
	Zone    string
	Demands []residency.Demand
	// Doubted are runners that refused what they were thought to hold.
	Doubted []string
	// Unreachable are runners that could not be reached, or said nothing for too long.
	Unreachable []string
	// Paces are those of streams that have ended.
	Paces []residency.Pace
	// Attempts tell how attempts at runners ended.
	Attempts []fleet.Attempts
	// Losses tell which requests were under way at runners whose connections broke.
	Losses []poison.Report
	// Endings tell how requests ended that were tried, or were under way at a loss before.
	Endings []poison.Ending
	// Works tell what was let in for each tenant, and who waits.
	Works []shares.Work
	// Limits tell what was heard of the rate limits of runners.
	Limits []ratelimit.Report
	// Notices tell which runners asked the router for rest, or say that they are leaving.
	Notices []notice.Report
}

// DemandReply tells what is known about the rows for which requests wait.
type DemandReply struct {
	Reply
	Forecasts []residency.Forecast
}

// DrawArguments ask for parts of tenants' limits.
type DrawArguments struct {
	Router string
	Wants  []quota.Want
	// Session names one life of the router's process, and Question numbers its questions in their
	// order.
	Session  uint64
	Question uint64
}

// DrawReply grants parts of limits. A tenant that the leader's document does not limit is left
// out.
type DrawReply struct {
	Reply
	Grants []quota.Grant
}

// WarmUpArguments ask for requests that may be sent to runners that bear few a second; only cold ones did when the
// method got its name.
type WarmUpArguments struct {
	Router string
	Wants  []ratelimit.Want
}

// WarmUpReply grants some of them, each to be sent within ratelimit.TokenLife of the question.
type WarmUpReply struct {
	Reply
	Grants []ratelimit.Grant
}

// TryArguments ask whether a request that may crash runners may be sent to one.
type TryArguments struct {
	Router string
	Digest poison.Digest
	// Asker names the request, so that it may ask again if the answer was lost.
	Asker    string
	Instance string
}

// TryReply gives the leader's word.
type TryReply struct {
	Reply
	Permission poison.Permission
	// ComeBackIn is when another try may be allowed.
	ComeBackIn time.Duration
}
