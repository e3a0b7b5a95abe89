package domainnode

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/internal/wake"
	"github.com/lotusferry/lotusferry/placement/domainapi"
)

const (
	// relayExpiry is how long after its last question a relay is listed.
	relayExpiry = domainapi.MirrorTTL
	// minRelayedRouters is the number of routers from which relays answer them, whatever their regions.
	// An answer takes the leader about 0.2 ms of CPU time, so that one to each of them takes 40 ms.
	minRelayedRouters = 200
	// routersPerRelay is the number of routers for each of which a relay must be ready before routers
	// are sent to the relays.
	routersPerRelay = 128
	// takeoverTime is how long a new leader keeps the relays of its predecessor before it judges by its
	// own routers, and how long it waits for as many relays as its routers need.
	takeoverTime = 5 * time.Second
)

// relays is the leader's state of the controllers that pass its state on to routers.
type relays struct {
	byName map[string]*relayContact
	// awaited is the latest revision on which an acknowledgement depends, awaitedUntil when the
	// leader stops waiting for it.
	awaited      uint64
	awaitedUntil time.Time
	// isWanted is set while the leader has enough routers for relays; see wantsRelays.
	isWanted bool
}

// relayContact is the leader's state of a relay.
type relayContact struct {
	address, zone string
	at            time.Time
	// isReady is set once it has a view of this term.
	isReady bool
	// notify holds the routers whose watches it must answer immediately.
	notify map[string]bool
	// toldOf is the last awaited revision sent to the relay.
	toldOf uint64
	// wake has a capacity of one.
	wake chan struct{}
}

func newRelays() relays { return relays{byName: make(map[string]*relayContact)} }

// observe records a question or report of a relay.
func (r *relays) observe(at time.Time, arguments *domainapi.MirrorArguments, isReady bool) *relayContact {
	known := r.byName[arguments.Relay]
	if known == nil {
		known = &relayContact{notify: make(map[string]bool), wake: make(chan struct{}, 1)}
		r.byName[arguments.Relay] = known
	}
	known.at, known.isReady = at, isReady
	known.address, known.zone = arguments.Address, arguments.Zone
	return known
}

// await records that an acknowledgement depends on a revision, and wakes the relays to be told.
func (r *relays) await(at time.Time, revision uint64) {
	r.awaitedUntil = at.Add(routerAckTimeout)
	if revision <= r.awaited {
		return
	}
	r.awaited = revision
	for _, known := range r.byName {
		wake.Up(known.wake)
	}
}

// awaitedAt returns the revision that the leader waits for; 0 if none.
func (r *relays) awaitedAt(at time.Time) uint64 {
	if !at.Before(r.awaitedUntil) {
		return 0
	}
	return r.awaited
}

// notify asks a relay to answer a router's watch immediately. It returns false if there is no such
// relay.
func (r *relays) notify(relay, router string) bool {
	known := r.byName[relay]
	if known == nil {
		return false
	}
	known.notify[router] = true
	wake.Up(known.wake)
	return true
}

// takeNotified returns the routers to be notified, sorted.
func (c *relayContact) takeNotified() []string {
	if len(c.notify) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(c.notify))
	clear(c.notify)
	return names
}

// list returns the leader and the relays that have a view and have asked within relayExpiry.
func (r *relays) list(at time.Time, leader domainapi.Relay) domainapi.RelayList {
	list := domainapi.RelayList{Leader: leader}
	for _, known := range r.byName {
		if known.isReady && at.Sub(known.at) < relayExpiry {
			list.Relays = append(list.Relays, domainapi.Relay{Address: known.address, Zone: known.zone})
		}
	}
	sortRelays(list.Relays)
	list.Version = relaysVersion(list)
	return list
}

func sortRelays(relays []domainapi.Relay) {
	slices.SortFunc(relays, func(a, b domainapi.Relay) int { return cmp.Compare(a.Address, b.Address) })
}

// relaysVersion returns a hash of the list's content above domainapi.NoRelays.
func relaysVersion(list domainapi.RelayList) uint64 {
	hash := fnv.New64a()
	if list.SparesLeader {
		_, _ = hash.Write([]byte{1})
	}
	for _, each := range append([]domainapi.Relay{list.Leader}, list.Relays...) {
		for _, text := range []string{each.Address, each.Zone} {
			var length [8]byte
			binary.BigEndian.PutUint64(length[:], uint64(len(text)))
			_, _ = hash.Write(length[:])
			_, _ = hash.Write([]byte(text))
		}
	}
	return max(domainapi.NoRelays+1, hash.Sum64())
}

// wantsRelays reports whether a relay that knows the leader of the given term, or 0, is to pass the
// state on: at sites of several regions always, at others while there are many routers. It also records
// whether there are. The caller holds the mutex.
func (l *leadership) wantsRelays(term uint64) bool {
	if l.options.hasSeveralRegions() {
		return true
	}
	enough := minRelayedRouters
	if l.relays.isWanted {
		enough /= 2
	}
	l.relays.isWanted = len(l.routers) >= enough
	return l.relays.isWanted || term != 0 && l.now().Sub(l.startedAt) < takeoverTime
}

// asRelay returns the leader's own entry in the list of relays.
func (l *leadership) asRelay() domainapi.Relay {
	return domainapi.Relay{Address: l.options.Address, Zone: l.options.Zone}
}

// relayList returns the leader and the relays that routers are to use. The caller holds the mutex.
func (l *leadership) relayList() domainapi.RelayList {
	list := l.relays.list(l.now(), l.asRelay())
	if !l.options.hasSeveralRegions() {
		if len(list.Relays) >= l.relaysNeeded() {
			list.SparesLeader = true
		} else {
			list.Relays = nil
		}
	}
	list.Version = relaysVersion(list)
	return list
}

// relayListFor returns the list that a relay passes on to its routers. At a site of one region it has
// that relay from the first answer on, so that its routers stay there when the leader changes. The
// caller holds the mutex.
func (l *leadership) relayListFor(relay *relayContact) domainapi.RelayList {
	list := l.relays.list(l.now(), l.asRelay())
	if !l.options.hasSeveralRegions() {
		list.SparesLeader = true
		if !relay.isReady {
			list.Relays = append(list.Relays, domainapi.Relay{Address: relay.address, Zone: relay.zone})
			sortRelays(list.Relays)
		}
	}
	list.Version = relaysVersion(list)
	return list
}

// relaysNeeded returns the number of relays from which routers are sent to them, so that the first
// ones are not asked by all routers. The caller holds the mutex.
func (l *leadership) relaysNeeded() int {
	if l.now().Sub(l.startedAt) >= takeoverTime {
		return 1
	}
	others := len(l.member.group.Status().Progress)
	return max(1, min(others, (len(l.routers)+routersPerRelay-1)/routersPerRelay))
}

// relaysFor returns the list of relays for a router, or nil if it uses none or its list is current.
// Relays know the revision of a router, but not that it has only a part of that view. A router that
// still lacks the full view gets no relays, unless they spare the leader: see handOver.
func (l *leadership) relaysFor(arguments *domainapi.WatchArguments) *domainapi.RelayList {
	if arguments.Relays == 0 {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := l.relayList()
	if l.routers[arguments.Router].lacksFullView {
		if !list.SparesLeader || len(list.Relays) == 0 {
			return nil
		}
		return &list
	}
	if arguments.Term == uint64(l.term) && arguments.Relays == list.Version {
		return nil
	}
	return &list
}

// isLeftToRelays reports whether a router that has nothing yet is to get its first view and document from a
// relay: if many routers start together, these would occupy the leader's link and processor for longer
// than its lease. A router that has a list of relays has asked them in vain, and is answered.
func (l *leadership) isLeftToRelays(arguments *domainapi.WatchArguments) bool {
	if arguments.Relays != domainapi.NoRelays || arguments.Revision != 0 {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := l.relayList()
	return list.SparesLeader && len(list.Relays) > 0
}

// handOver has a router that lacks the full view ask its relay for it.
func (l *leadership) handOver(router string, reply *domainapi.WatchReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.routers[router]
	if !known.lacksFullView {
		return
	}
	known.lacksFullView, known.wantsFullView = false, false
	l.routers[router] = known
	reply.View, reply.Revision = nil, 0
	l.node.workload.handOvers.Add(1)
}

// recordRelayed records a relay's contact with a router, unless a later one with another controller
// is known. The caller holds the mutex.
func (l *leadership) recordRelayed(at time.Time, arguments *domainapi.MirrorArguments, relayed domainapi.RelayedRouter) {
	contactAt, revision := at.Add(-relayed.Age()), uint64(0)
	if arguments.Term == uint64(l.term) {
		revision = relayed.Revision
	}
	known, isKnown := l.routers[relayed.Router]
	switch {
	case isKnown && known.relay == arguments.Relay:
		// Two messages of a relay may overtake each other. Only a router that has started anew,
		// which has no revision, goes back.
		contactAt = later(contactAt, known.at)
		if revision > 0 {
			revision = max(revision, known.revision)
		}
	case isKnown && contactAt.Before(known.at):
		return
	}
	if revision > 0 {
		// Relays give full views only. Without a revision of this term, the contact may be from before
		// the router came to this leader.
		known.lacksFullView, known.wantsFullView = false, false
	}
	known.at, known.revision, known.hold, known.relay = contactAt, revision, min(relayed.Hold(), domainapi.MaxHold), arguments.Relay
	l.routers[relayed.Router] = known
	l.noteContactExpiry(known)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// membersVersion returns a hash of the lists of relays and controllers; never 0.
func membersVersion(list *domainapi.RelayList, controllers []string) uint64 {
	hash := fnv.New64a()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], list.Version)
	_, _ = hash.Write(number[:])
	for _, address := range controllers {
		_, _ = hash.Write([]byte(address + "\n"))
	}
	return max(1, hash.Sum64())
}
