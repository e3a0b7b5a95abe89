package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
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
	// maxRelayChoices bounds the relays that a router asks, one after the other, before it asks the leader
	// of a site with many routers. Otherwise all routers ask all controllers when the leader is lost.
	maxRelayChoices = 3
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
// region, else the leader. A leader in the router's zone is asked directly unless it is to be spared.
// It does no I/O.
type controllerChoice struct {
	// name is the router's name; it spreads the routers over the relays.
	name    string
	zone    structs.ZoneID
	regions map[structs.ZoneID]string
	// isUsed is set if the router's region is known.
	isUsed bool
	list   domainapi.RelayList
	// choices are the relays of the list that the router may ask, in its order of preference.
	choices []domainapi.Relay
	// failed has the relays that are not to be asked for some time.
	failed map[string]failedRelay
}

// failedRelay is the last failure of a relay and how long it is not asked from then.
type failedRelay struct {
	at    time.Time
	pause time.Duration
}

func newControllerChoice(name string, zone structs.ZoneID, regions map[structs.ZoneID]string) *controllerChoice {
	return &controllerChoice{
		name: name, zone: zone, regions: regions, isUsed: regions[zone] != "", failed: make(map[string]failedRelay),
	}
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
	if isNewTerm || list != nil {
		c.choices = c.order()
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
	if !c.isUsed || !c.list.SparesLeader && c.isInZone(c.list.Leader) {
		return "", nearLeader
	}
	for _, relay := range c.choices {
		if failure, hasFailed := c.failed[relay.Address]; !hasFailed || at.Sub(failure.at) >= failure.pause {
			return relay.Address, c.distance(relay)
		}
	}
	return "", nearLeader
}

// order returns the relays of the list that the router may ask, in its order of preference: those in its
// zone first, then those in its region, each ranked differently for each router.
func (c *controllerChoice) order() []domainapi.Relay {
	choices := slices.DeleteFunc(slices.Clone(c.list.Relays), func(relay domainapi.Relay) bool {
		return c.distance(relay) == nearLeader
	})
	slices.SortFunc(choices, func(a, b domainapi.Relay) int {
		return cmp.Or(cmp.Compare(c.distance(a), c.distance(b)), cmp.Compare(c.rank(b.Address), c.rank(a.Address)))
	})
	if c.list.SparesLeader {
		choices = choices[:min(len(choices), maxRelayChoices)]
	}
	return choices
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
