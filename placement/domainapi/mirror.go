package domainapi

import (
	"time"

	"github.com/lotusferry/lotusferry/placement/peers"
)

// NoRelays is the version of a router's list of relays before it has one.
const NoRelays = 1

// RelayHold is how long the leader holds a relay's question without changes. It is well below
// MirrorTTL, so that one lost or late answer does not stop a relay.
const RelayHold = 300 * time.Millisecond

// MirrorTTL is how long after it asked for it a relay may pass on the leader's state.
const MirrorTTL = time.Second

// ContactMargin is how long after the end of its watch a router still counts as active.
const ContactMargin = time.Second

// RelayList lists the controllers that answer watches.
type RelayList struct {
	// Version identifies the content; it is greater than NoRelays.
	Version uint64
	// Leader is the leader itself.
	Leader Relay
	// Relays are sorted by address.
	Relays []Relay
	// SparesLeader is set if routers in the leader's zone watch relays too, and those in other zones
	// rather a relay anywhere than the leader.
	SparesLeader bool
}

// Zones returns the zones of the leader and the relays by address.
func (l *RelayList) Zones() map[string]string {
	zones := map[string]string{l.Leader.Address: l.Leader.Zone}
	for _, relay := range l.Relays {
		zones[relay.Address] = relay.Zone
	}
	return zones
}

// Relay is a controller that answers watches.
type Relay struct{ Address, Zone string }

// RelayedRouter is a relay's contact with a router.
type RelayedRouter struct {
	Router string
	// Revision is the revision of the router's view in the term of the message when it last
	// asked; 0 if it had none.
	Revision uint64
	// AgeMS is the time since it asked and HoldMS how long its watches are held, in milliseconds
	// rounded up, which take fewer bytes than a time.Duration.
	AgeMS, HoldMS uint32
}

// MillisecondsUp returns a duration in milliseconds, rounded up.
func MillisecondsUp(duration time.Duration) uint32 {
	return uint32(max(0, duration+time.Millisecond-1) / time.Millisecond)
}

// Age returns the time since the router asked.
func (r RelayedRouter) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// Hold returns how long the router's watches are held.
func (r RelayedRouter) Hold() time.Duration { return time.Duration(r.HoldMS) * time.Millisecond }

// MirrorArguments are a relay's question for what it passes on to routers.
type MirrorArguments struct {
	// Relay is the name of the controller, Address and Zone are where routers find it.
	Relay, Address, Zone string
	// Term and Revision identify the relay's view, Version its document.
	Term, Revision, Version uint64
	// Announced is the latest revision that it knows to be announced to all routers.
	Announced uint64
	// Suspects is the revision, within Term, of its list of suspects.
	Suspects uint64
	// Members is the version of its lists of relays and controllers; 0 if it has none.
	Members uint64
	// Roster is the version, within Term, of its list of routers for the selection of peers; 0 from a relay
	// that selects none.
	Roster uint64
	// LoadsAge is the time since it received loads of the leader of Term; 0 if it has none.
	LoadsAge time.Duration
	// HoldMS bounds how long the question is held without changes, in milliseconds; 0 means RelayHold.
	HoldMS uint32
	// Routers are the contacts of which the leader must be told.
	Routers []RelayedRouter
	// IsReport is set if the message only carries Routers and is answered immediately, without
	// a view.
	IsReport bool
}

// MirrorReply is sent when something has changed, after RelayHold, or at once to a report.
type MirrorReply struct {
	Reply
	// IsUnwanted is set if the leader has too few routers for relays. The reply has nothing else then.
	IsUnwanted bool
	// State is what the relay passes on to routers, with the loads packed or kept. A report's answer
	// has only the term.
	State WatchReply
	// Announced is the latest revision that was announced to all routers.
	Announced uint64
	// HeldMS is how long the question was held, in milliseconds rounded up.
	HeldMS uint32
	// Awaited is the revision that all active routers must have before the leader acknowledges a
	// departure or drain; 0 if it waits for none.
	Awaited uint64
	// Notify names the routers whose watches must be answered immediately.
	Notify []string
	// Members is the version of RelayList and State.Controllers, which are empty if it is the
	// relay's.
	Members   uint64
	RelayList RelayList
	// Roster lists the routers for the selection of peers; nil if the relay's list is current.
	Roster *peers.List
}

// Hold returns how long the question may be held without changes.
func (a *MirrorArguments) Hold() time.Duration {
	if a.HoldMS == 0 {
		return RelayHold
	}
	return min(RelayHold, time.Duration(a.HoldMS)*time.Millisecond)
}

// Watch returns the watch of a router that has the relay's state.
func (a *MirrorArguments) Watch() *WatchArguments {
	return &WatchArguments{Version: a.Version, Term: a.Term, TakesPackedLoads: true, LoadsAge: a.LoadsAge}
}
