package relay

import (
	"hash/fnv"
	"time"

	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// failedRelayPause is how long a router does not ask a relay that failed.
	failedRelayPause = 5 * time.Second
	// redirectPause is how long it does not ask one that redirected it, doubled with each further
	// redirection up to failedRelayPause. A relay redirects when the leader is slow to answer it. If
	// its routers asked the leader for long, that would make the leader slower still.
	redirectPause = 500 * time.Millisecond
)

// nearness tells which controller a router watches.
type nearness int

// Values of nearness, nearest first.
const (
	nearZone nearness = iota
	nearRegion
	nearLeader
)

// String returns the label of metrics and logs.
func (n nearness) String() string {
	return [...]string{"zone", "region", "leader"}[n]
}

// controllerChoice decides which controller a router watches: a relay in its zone, else one in its
// region, else the leader. A leader in the router's zone is asked directly. It does no I/O.
type controllerChoice struct {
	// name is the router's name; it spreads the routers over the relays.
	name    string
	zone    structs.ZoneID
	regions map[structs.ZoneID]string
	// isUsed is set if there is more than one region.
	isUsed bool
	list   domainapi.RelayList
	// failed has the relays that are not to be asked for some time.
	failed map[string]failedRelay
}

// failedRelay is the last failure of a relay and how long it is not asked from then.
type failedRelay struct {
	at    time.Time
	pause time.Duration
}

func newControllerChoice(name string, zone structs.ZoneID, regions map[structs.ZoneID]string) *controllerChoice {
	c := &controllerChoice{name: name, zone: zone, regions: regions, failed: make(map[string]failedRelay)}
	names := make(map[string]bool)
	for _, region := range regions {
		names[region] = true
	}
	c.isUsed = len(names) > 1 && regions[zone] != ""
	return c
}

// version returns the version of the list of relays to be stated in watches.
func (c *controllerChoice) version() uint64 {
	switch {
	case !c.isUsed:
		return 0
	case c.list.Version == 0:
		return domainapi.NoRelays
	}
	return c.list.Version
}

// adopt takes the list of relays from a reply, which is nil if it is unchanged. Another term's
// leader has its own list.
func (c *controllerChoice) adopt(list *domainapi.RelayList, isNewTerm bool) {
	if isNewTerm {
		c.list = domainapi.RelayList{}
	}
	if list != nil {
		c.list = *list
	}
}

// fail records that a relay failed.
func (c *controllerChoice) fail(at time.Time, address string) {
	c.failed[address] = failedRelay{at: at, pause: failedRelayPause}
}

// redirect records that a relay is up but cannot answer now.
func (c *controllerChoice) redirect(at time.Time, address string) {
	pause := max(redirectPause, 2*c.failed[address].pause)
	c.failed[address] = failedRelay{at: at, pause: min(pause, failedRelayPause)}
}

// succeed records that a relay answered.
func (c *controllerChoice) succeed(address string) { delete(c.failed, address) }

// next returns the address of the relay to watch, or nearLeader and no address for the leader.
func (c *controllerChoice) next(at time.Time) (address string, near nearness) {
	near = nearLeader
	if !c.isUsed || c.isInZone(c.list.Leader) {
		return "", nearLeader
	}
	best := uint64(0)
	for _, relay := range c.list.Relays {
		failure, hasFailed := c.failed[relay.Address]
		distance := c.distance(relay)
		if distance == nearLeader || distance > near || hasFailed && at.Sub(failure.at) < failure.pause {
			continue
		}
		if rank := c.rank(relay.Address); distance < near || rank > best {
			address, near, best = relay.Address, distance, rank
		}
	}
	return address, near
}

func (c *controllerChoice) isInZone(relay domainapi.Relay) bool {
	return c.zone != "" && structs.ZoneID(relay.Zone) == c.zone
}

// distance returns nearLeader for a relay in another region, which is not used.
func (c *controllerChoice) distance(relay domainapi.Relay) nearness {
	switch {
	case c.isInZone(relay):
		return nearZone
	case c.regions[structs.ZoneID(relay.Zone)] == c.regions[c.zone]:
		return nearRegion
	}
	return nearLeader
}

// rank orders equally near relays, differently for each router.
func (c *controllerChoice) rank(address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.name + "\x00" + address))
	return hash.Sum64()
}
