package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// Bounds of the site's numbers.
const (
	maximumZoneWeight     = 1000
	maximumStoreInFlight  = 10000
	recommendedVoterFloor = 3
)

func (k *checker) site() {
	site := k.config.Site
	k.identifier("site.name", site.Name)
	if site.Objective != structs.ObjectiveLatency && site.Objective != structs.ObjectiveIdle {
		k.add("site.objective", site.Objective, "is not an objective", "Write latency or idle.")
	}
	if len(site.Zones) == 0 {
		k.add("site.zones", "", "names no zone", "List every zone of the site.")
	}
	k.zones(site.Zones)
	k.globalVoters(site)
	k.ownMembership()
	k.platformURL("site.machine_list", site.MachineList)
	k.between("site.store_concurrent", site.StoreConcurrent, 1, maximumStoreInFlight)
	k.planner(site.PlanSettings())
}

// zones checks each zone. A daemon, and an internal address, belongs to one zone.
func (k *checker) zones(zones []Zone) {
	zoneSeen := map[structs.ZoneID]bool{}
	everywhere := newMemberSet()
	routers := map[string]bool{}
	for index, zone := range zones {
		key := fmt.Sprintf("site.zones[%d]", index)
		k.identifier(key+".id", string(zone.ID))
		if zoneSeen[zone.ID] {
			k.add(key+".id", zone.ID, "stands twice", "Give each zone its own ID.")
		}
		zoneSeen[zone.ID] = true
		k.between(key+".weight", zone.Weight, 1, maximumZoneWeight)
		k.members(key+".controllers", zone.Controllers)
		k.unique(key+".controllers", zone.Controllers, everywhere)
		k.routers(key+".routers", zone.Routers, routers)
	}
	for index, zone := range zones {
		for position, router := range zone.Routers {
			if everywhere.addresses[router] {
				k.add(fmt.Sprintf("site.zones[%d].routers[%d]", index, position), router, "is the internal address of a controller",
					"Write the address that the router listens on for callers.")
			}
		}
	}
}

// routers checks callers' addresses: each belongs to one router of one zone.
func (k *checker) routers(key string, routers []string, seen map[string]bool) {
	for position, router := range routers {
		routerKey := fmt.Sprintf("%s[%d]", key, position)
		k.address(routerKey, router, false)
		if seen[router] {
			k.add(routerKey, router, "stands twice", "List each router once, under its own zone.")
		}
		seen[router] = true
	}
}

func (k *checker) globalVoters(site Site) {
	const key = "site.global_voters"
	k.members(key, site.GlobalVoters)
	k.unique(key, site.GlobalVoters, newMemberSet())
	controllers := map[structs.DaemonID]Member{}
	zones := map[structs.DaemonID]structs.ZoneID{}
	for _, zone := range site.Zones {
		for _, member := range zone.Controllers {
			controllers[member.Daemon] = member
			zones[member.Daemon] = zone.ID
		}
	}
	perZone := map[structs.ZoneID]int{}
	for index, voter := range site.GlobalVoters {
		controller, known := controllers[voter.Daemon]
		memberKey := fmt.Sprintf("%s[%d]", key, index)
		if !known {
			k.add(memberKey+".daemon", voter.Daemon, "is no controller of any zone",
				"Add it to the controllers of its zone, or take it out of the global voters.")
			continue
		}
		perZone[zones[voter.Daemon]]++
		if controller.Address != voter.Address {
			k.add(memberKey+".address", voter.Address, "differs from the address under its zone",
				"Write "+controller.Address+" in both places: a daemon has one internal address.")
		}
	}
	k.zoneMajority(site, perZone)
}

// zoneMajority warns when the loss of one zone would stop edits.
func (k *checker) zoneMajority(site Site, perZone map[structs.ZoneID]int) {
	if len(site.Zones) < recommendedVoterFloor {
		return
	}
	for _, zone := range site.ZoneIDs() {
		if 2*perZone[zone] >= len(site.GlobalVoters) && perZone[zone] > 0 {
			k.warn("site.global_voters", zone, "holds so many voters that edits stop when this zone is lost",
				"Spread the global voters so that no zone holds half of them.")
		}
	}
}

func (k *checker) members(key string, members []Member) {
	if len(members) == 0 {
		k.add(key, "", "names no voter", "List an odd number of controllers, at best three or five.")
		return
	}
	if len(members)%2 == 0 {
		k.warn(key, len(members), "is an even number of voters, which survives no more losses than one voter fewer",
			"Add or take out one voter.")
	}
	if len(members) < recommendedVoterFloor {
		k.warn(key, len(members), "is too few voters to survive the loss of one",
			"Use three or five voters.")
	}
	if !slices.ContainsFunc(members, func(member Member) bool { return !member.Standby }) {
		k.warn(key, len(members), "are standbys, all of them, so that each may lead",
			"Leave standby out where a member is to lead.")
	}
	for index, member := range members {
		memberKey := fmt.Sprintf("%s[%d]", key, index)
		k.identifier(memberKey+".daemon", string(member.Daemon))
		k.address(memberKey+".address", member.Address, false)
	}
}

// memberSet remembers what members have taken.
type memberSet struct {
	daemons   map[structs.DaemonID]bool
	addresses map[string]bool
}

func newMemberSet() memberSet {
	return memberSet{daemons: map[structs.DaemonID]bool{}, addresses: map[string]bool{}}
}

// unique reports daemons and addresses that seen already has.
func (k *checker) unique(key string, members []Member, seen memberSet) {
	for index, member := range members {
		memberKey := fmt.Sprintf("%s[%d]", key, index)
		if seen.daemons[member.Daemon] {
			k.add(memberKey+".daemon", member.Daemon, "stands twice", "Give each daemon its own ID and one zone.")
		}
		if seen.addresses[member.Address] {
			k.add(memberKey+".address", member.Address, "stands twice", "Give each daemon its own internal address.")
		}
		seen.daemons[member.Daemon] = true
		seen.addresses[member.Address] = true
	}
}

// ownMembership checks that the site file and this daemon agree on who it is.
func (k *checker) ownMembership() {
	c := k.config
	for _, zone := range c.Site.Zones {
		for _, member := range zone.Controllers {
			if member.Daemon != c.Daemon {
				continue
			}
			k.ownAddress(member)
			if zone.ID != c.Zone {
				k.add("zone", c.Zone, "is not the zone under which the site lists this daemon",
					"Write "+string(zone.ID)+", or move the daemon under site.zones.")
			}
			if !c.HasRole(RoleController) {
				k.add("roles", c.Roles, "lacks controller, though the site lists this daemon as one",
					"Add the role, or take the daemon out of the site's controllers.")
			}
			return
		}
	}
	k.keptAnswers()
	if c.HasRole(RoleController) {
		k.warn("daemon", c.Daemon, "is a controller that the site does not list",
			"Add it under site.zones, or add it to the running group as a new member.")
	}
}

// ownAddress checks that others reach this daemon where it listens.
func (k *checker) ownAddress(member Member) {
	own, ownErr := netip.ParseAddrPort(k.config.Listen.Internal)
	listed, listedErr := netip.ParseAddrPort(member.Address)
	if ownErr != nil || listedErr != nil || own.Port() == 0 {
		return // reported elsewhere, or a free port, which suits tests only
	}
	listens := listener{address: own}
	if own.Port() == listed.Port() && listens.overlaps(listed) {
		return
	}
	k.add("listen.internal", k.config.Listen.Internal, "is not where the site says that this daemon is",
		"Listen on "+member.Address+", or correct the daemon's address under site.zones.")
}

// keptAnswers warns when other routers cannot fetch the answers that this one keeps. A
// daemon that the site lists is called at its address there.
func (k *checker) keptAnswers() {
	c := k.config
	if !c.HasRole(RoleRouter) {
		return
	}
	const remedy = "Name an IP number of this machine and a port, at which other daemons reach it."
	const consequence = ": the answers that this router keeps are replayed by itself alone"
	own, err := netip.ParseAddrPort(c.Listen.Internal)
	switch {
	case c.Listen.Internal == "":
		k.warn("listen.internal", "", "is missing"+consequence, remedy)
	case err != nil:
		// Reported elsewhere.
	case own.Addr().IsUnspecified():
		k.warn("listen.internal", c.Listen.Internal, "is no address to call"+consequence, remedy)
	case own.Port() == 0 && !c.Development:
		k.warn("listen.internal", c.Listen.Internal, "has another port after each restart"+consequence, remedy)
	case own.Addr().Unmap().IsLoopback() && !k.siteIsLocal():
		k.warn("listen.internal", c.Listen.Internal, "is reached from this machine only"+consequence, remedy)
	}
}

// siteIsLocal reports whether all controllers of the site are on this machine.
func (k *checker) siteIsLocal() bool {
	for _, zone := range k.config.Site.Zones {
		for _, member := range zone.Controllers {
			address, err := netip.ParseAddrPort(member.Address)
			if err == nil && !address.Addr().Unmap().IsLoopback() {
				return false
			}
		}
	}
	return true
}
