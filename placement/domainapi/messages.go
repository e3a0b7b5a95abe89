// Package domainapi defines the net/rpc messages of a placement domain, exchanged
// among controllers and between routers and the leading controller.
package domainapi

import (
	"time"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/peers"
	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/shares"
	"github.com/lotusferry/lotusferry/placement/slotlease"
	"github.com/lotusferry/lotusferry/structs"
)

// ServiceName is the name of the net/rpc service of a controller.
const ServiceName = "Domain"

// Methods of the service. Only the leader serves methods other than Describe and Found;
// other controllers return ErrorNotLeader with the leader's address, if known. Watch is also
// served by relays, to routers that allow it.
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
	MethodClaimSlots = ServiceName + ".ClaimSlots"
	MethodMirror     = ServiceName + ".Mirror"
)

// Reply carries a typed error, because net/rpc transmits errors as strings.
type Reply struct{ Error *structs.Error }

// Failure implements leadercall.Reply.
func (r *Reply) Failure() *structs.Error { return r.Error }

// DescribeArguments are the arguments of Describe.
type DescribeArguments struct{}

// DescribeReply describes a controller's member of the raft group.
type DescribeReply struct {
	Reply
	Member group.Member
	// Held is set while the member belongs to no group.
	Held bool
	// Voters are the voters of the member's latest membership.
	Voters []group.Member
	// Committed is the membership at the applied index.
	Committed raft.Membership
	Applied   uint64
	// HasLeader is set if the member is or knows a leader.
	HasLeader bool
	// HasOrdered is set if the process has sent orders to runners and may send more.
	// SinceOrder is the time since the last one.
	HasOrdered bool
	SinceOrder time.Duration
}

// FoundArguments list the initial members of a new group.
type FoundArguments struct{ Members []group.Member }

// JoinArguments ask the leader to add a member to the group.
type JoinArguments struct{ Member group.Member }

// StoppingArguments announce the planned stop of a member.
type StoppingArguments struct{ Node raft.NodeID }

// HeartbeatsArguments carry a batch of runner heartbeats.
type HeartbeatsArguments struct{ Heartbeats []fleet.Heartbeat }

// DepartArguments report that a runner is leaving or gone.
type DepartArguments struct {
	// Departure holds the runner's ID in place of its instance.
	Departure domain.Departure
	// Born is the start time of the runner's process in Unix milliseconds; 0 means its
	// latest known incarnation.
	Born int64
}

// PutArguments carry a validated document.
type PutArguments struct{ Document domain.Document }

// DrainArguments carry an operator's order to start or end the drain of a zone.
type DrainArguments struct{ Drain domain.ZoneDrain }

// DrainedReply lists the drained zones, sorted.
type DrainedReply struct {
	Reply
	Zones []string
}

// ReadArguments are the arguments of Read and Drained.
type ReadArguments struct{}

// DocumentReply carries a document.
type DocumentReply struct {
	Reply
	Document domain.Document
}

// WatchArguments ask for changes since the state known to a router.
type WatchArguments struct {
	Router string
	// Version is the version of the router's document; 0 if it has none.
	Version uint64
	// Term and Revision identify the router's view.
	Term     uint64
	Revision uint64
	// Suspects is the revision, within Term, of the router's list of suspects.
	Suspects uint64
	// MaxHold is the longest time that the router waits for a reply. The previous release
	// sends 0 and waits for MinHold.
	MaxHold time.Duration
	// TakesPackedLoads is set if the router understands WatchReply.PackedLoads and KeepsLoads.
	TakesPackedLoads bool
	// LoadsAge is the time since the router received loads of the leader of Term; 0 if it has none.
	LoadsAge time.Duration
	// Controllers is the HashAddresses of the router's list of controllers; 0 if it has none.
	Controllers uint64
	// AllowsRelay is set if a relay may answer.
	AllowsRelay bool
	// Relays is the version of the router's list of relays, NoRelays if it has none; 0 from a
	// router that uses no relays.
	Relays uint64
	// Peers is the version of the roster, within Term, from which the router's peers were selected, or
	// peers.InitialVersion; 0 from a router that uses no peers.
	Peers uint64
}

const (
	// MinHold and MaxHold bound the time that a leader holds a watch without changes.
	// Routers detect the loss of a leader only after the hold time.
	MinHold = 500 * time.Millisecond
	MaxHold = time.Second
)

// WatchReply is sent when something has changed, or after the hold time.
type WatchReply struct {
	Reply
	Term     uint64
	Revision uint64
	// Hold is how long the leader holds this router's watches without changes; 0 from the
	// previous release.
	Hold time.Duration
	// Document is nil if the router's document is current.
	Document *domain.Document
	// Confirmed is the document version that was current at some time after the router
	// asked; 0 if the leader confirms none.
	Confirmed uint64
	// View is nil if the router's view is current.
	View *fleet.EncodedView
	// Loads lists the runners with many requests, summed over all routers.
	Loads []fleet.Load
	// PackedLoads holds the loads packed by fleet.PackLoads, in place of Loads; empty if KeepsLoads
	// is set and for routers that do not take it.
	PackedLoads []byte
	// KeepsLoads is set if the loads that the router has still hold. Then neither form is sent.
	KeepsLoads bool
	// Suspects lists the requests that may crash runners; nil if the router's list is current.
	Suspects *poison.List
	// Shares lists the tenants above their shares, over all routers.
	Shares shares.Overuse
	// StreamLosses are the shares of streams lost with their runners, over all routers, of the services
	// that lose many; nil from the previous version.
	StreamLosses map[string]float64 `msgpack:",omitempty"`
	// MixedVersions are the services whose runners had several software versions lately, sorted; nil for none and from the
	// previous version.
	MixedVersions []string `msgpack:",omitempty"`
	// OnlyVersions are the software versions of the services whose runners had one alone lately; nil for none and from the
	// previous version.
	OnlyVersions map[string]string `msgpack:",omitempty"`
	// Routers is the number of routers that share the leader's grants.
	Routers int
	// Controllers are the addresses of the group's members; empty if the router has them.
	Controllers []string
	// Relays lists the leader and the relays; nil if the router uses none or its list is current.
	Relays *RelayList
	// Peers are the router's peers; nil if it uses none or those that it has are current.
	Peers *peers.Selection
	// ConfirmedBefore is how long before it received the router's question a relay had asked the
	// leader for Confirmed; 0 if it asked later or the leader answers itself.
	ConfirmedBefore time.Duration
	// Age is the time since a relay received the state from the leader, and LoadsAge the time since
	// it received the loads; 0 from the leader itself.
	Age      time.Duration
	LoadsAge time.Duration
}

// DemandArguments report what a router observed since its last report.
type DemandArguments struct {
	Router string
	// Zone is the router's zone; empty if it has none or does not report it.
	Zone string
	// Tunnel is the address at which the router accepts tunnels of its peers. It is empty in most reports
	// of a router that the leader knows.
	Tunnel string
	// IsCutOff is set while the router reaches no runner of some service directly.
	IsCutOff bool
	Demands  []residency.Demand
	// Doubted lists runners that rejected a model or adapter listed in the view.
	Doubted []string
	// Unreachable lists runners that refused connections or timed out.
	Unreachable []string
	// Paces are measurements of ended streams.
	Paces []residency.Pace
	// Attempts counts the outcomes of attempts at runners.
	Attempts []fleet.Attempts
	// Streams counts the streams sent and lost of services whose runners copy streams.
	Streams []fleet.StreamCount `msgpack:",omitempty"`
	// Losses lists requests in flight at runners whose connections broke.
	Losses []poison.Report
	// Endings lists the outcomes of trials and of requests in flight at an earlier loss.
	Endings []poison.Ending
	// Works reports the admitted and waiting work of each tenant.
	Works []shares.Work
	// Limits reports rate limits announced by runners, and Brittle the rejections in a second that brittle services bear.
	Limits  []ratelimit.Report
	Brittle []ratelimit.Report `msgpack:",omitempty"`
	// Notices reports runners that asked for a pause or announced that they are leaving.
	Notices []notice.Report
}

// DemandReply holds forecasts for the rows for which requests wait.
type DemandReply struct {
	Reply
	Forecasts []residency.Forecast
}

// DrawArguments ask for shares of tenants' limits.
type DrawArguments struct {
	Router string
	Wants  []quota.Want
	// Session identifies the incarnation of the router; Question is the sequence number of the
	// request within the incarnation.
	Session  uint64
	Question uint64
}

// DrawReply grants shares of limits. Tenants without a limit in the leader's document
// are omitted.
type DrawReply struct {
	Reply
	Grants []quota.Grant
}

// WarmUpArguments ask for tokens to send requests to rate-limited runners: cold ones and
// those that announce a limit.
type WarmUpArguments struct {
	Router string
	Wants  []ratelimit.Want
}

// WarmUpReply grants tokens. Each expires ratelimit.TokenTTL after the router asked.
type WarmUpReply struct {
	Reply
	Grants []ratelimit.Grant
}

// ClaimSlotsArguments claim slots of brittle runners.
type ClaimSlotsArguments struct {
	Router string
	Claims []slotlease.Claim
}

// ClaimSlotsReply grants slots of the runners that the leader knows. Permission to begin requests expires slotlease.TTL after
// the router asked.
type ClaimSlotsReply struct {
	Reply
	Grants []slotlease.Grant
}

// TryArguments ask for permission to send a request that may crash runners.
type TryArguments struct {
	Router string
	// Digest is that of the request's content. Digests lists it and those of the parts of its prompt, in order; the previous
	// version sends none.
	Digest  poison.Digest
	Digests []poison.Digest `msgpack:",omitempty"`
	// Asker identifies the request, so that retries after a lost reply are idempotent.
	Asker    string
	Instance string
}

// TryReply holds the leader's decision.
type TryReply struct {
	Reply
	Permission poison.Permission
	// ComeBackIn is the time until another trial may be allowed.
	ComeBackIn time.Duration
	// Subject is the suspect that is on trial, or that is refused; zero from the previous version.
	Subject poison.Digest
}
