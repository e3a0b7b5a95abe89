package config

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/lotusferry/lotusferry/structs"
)

// Bounds of the site settings.
const (
	maximumZoneWeight    = 1000
	maximumStoreInFlight = 10000
	recommendedVoters    = 3
)

func (k *checker) site() {
	site := k.config.Site
	k.identifier("site.name", site.Name)
	if site.Objective != structs.ObjectiveLatency && site.Objective != structs.ObjectiveIdle {
		k.add("site.objective", site.Objective, "is not a known objective", "Write latency or idle.")
	}
	if len(site.Zones) == 0 {
		k.add("site.zones", "", "is empty", "List every zone of the site.")
	}
	k.zones(site.Zones)
	k.globalVoters(site)
	k.siteMembership()
	k.platformURL("site.machine_list", site.MachineList)
	k.intRange("site.store_concurrent", site.StoreConcurrent, 1, maximumStoreInFlight)
	k.planner(site.PlanSettings())
}

// zones checks each zone. A daemon or an internal address may be listed in one zone only.
func (k *checker) zones(zones []Zone) {
	zoneSeen := map[structs.ZoneID]bool{}
	siteMembers := newMemberSet()
	routers := map[string]bool{}
	for index, zone := range zones {
		key := fmt.Sprintf("site.zones[%d]", index)
		k.identifier(key+".id", string(zone.ID))
		if zoneSeen[zone.ID] {
			k.add(key+".id", zone.ID, "is listed twice", "Give each zone its own ID.")
		}
		zoneSeen[zone.ID] = true
		k.intRange(key+".weight", zone.Weight, 1, maximumZoneWeight)
		k.members(key+".controllers", zone.Controllers)
		k.unique(key+".controllers", zone.Controllers, siteMembers)
		k.routers(key+".routers", zone.Routers, routers)
	}
	for index, zone := range zones {
		for position, router := range zone.Routers {
			if siteMembers.addresses[router] {
				k.add(fmt.Sprintf("site.zones[%d].routers[%d]", index, position), router, "is the internal address of a controller",
					"Write the address on which the router listens for callers.")
			}
		}
	}
}

// routers checks the addresses for callers; each may be listed once in the site.
func (k *checker) routers(key string, routers []string, seen map[string]bool) {
	for position, router := range routers {
		routerKey := fmt.Sprintf("%s[%d]", key, position)
		k.address(routerKey, router, false)
		if seen[router] {
			k.add(routerKey, router, "is listed twice", "List each router once, under its own zone.")
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
			k.add(memberKey+".daemon", voter.Daemon, "is not a controller of any zone",
				"Add it to the controllers of its zone, or remove it from the global voters.")
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

// zoneMajority warns when the loss of one zone would leave no quorum of global voters.
func (k *checker) zoneMajority(site Site, perZone map[structs.ZoneID]int) {
	if len(site.Zones) < recommendedVoters {
		return
	}
	for _, zone := range site.ZoneIDs() {
		if 2*perZone[zone] >= len(site.GlobalVoters) && perZone[zone] > 0 {
			k.warn("site.global_voters", zone, "has so many voters that edits stop when this zone fails",
				"Distribute the global voters so that no zone has half of them.")
		}
	}
}

func (k *checker) members(key string, members []Member) {
	if len(members) == 0 {
		k.add(key, "", "is empty", "List an odd number of controllers, preferably three or five.")
		return
	}
	if len(members)%2 == 0 {
		k.warn(key, len(members), "is an even number of voters, which tolerates no more failures than one voter fewer",
			"Add or remove one voter.")
	}
	if len(members) < recommendedVoters {
		k.warn(key, len(members), "is too few voters to tolerate the failure of one",
			"Use three or five voters.")
	}
	if !slices.ContainsFunc(members, func(member Member) bool { return !member.Standby }) {
		k.warn(key, len(members), "is the number of members, all of which are standbys, so any of them may lead",
			"Remove standby from the members that should lead.")
	}
	for index, member := range members {
		memberKey := fmt.Sprintf("%s[%d]", key, index)
		k.identifier(memberKey+".daemon", string(member.Daemon))
		k.address(memberKey+".address", member.Address, false)
	}
}

// memberSet holds the daemons and addresses of the members checked so far.
type memberSet struct {
	daemons   map[structs.DaemonID]bool
	addresses map[string]bool
}

func newMemberSet() memberSet {
	return memberSet{daemons: map[structs.DaemonID]bool{}, addresses: map[string]bool{}}
}

// unique reports duplicate daemons and addresses, and adds the members to seen.
func (k *checker) unique(key string, members []Member, seen memberSet) {
	for index, member := range members {
		memberKey := fmt.Sprintf("%s[%d]", key, index)
		if seen.daemons[member.Daemon] {
			k.add(memberKey+".daemon", member.Daemon, "is listed twice", "Give each daemon its own ID and one zone.")
		}
		if seen.addresses[member.Address] {
			k.add(memberKey+".address", member.Address, "is listed twice", "Give each daemon its own internal address.")
		}
		seen.daemons[member.Daemon] = true
		seen.addresses[member.Address] = true
	}
}

// siteMembership checks the daemon's own settings against its entry in the site.
func (k *checker) siteMembership() {
	c := k.config
	for _, zone := range c.Site.Zones {
		for _, member := range zone.Controllers {
			if member.Daemon != c.Daemon {
				continue
			}
			k.listedAddress(member)
			if zone.ID != c.Zone {
				k.add("zone", c.Zone, "is not the zone in which the site lists this daemon",
					"Write "+string(zone.ID)+", or move the daemon to another zone of site.zones.")
			}
			if !c.HasRole(RoleController) {
				k.add("roles", c.Roles, "lacks controller, but the site lists this daemon as one",
					"Add the role, or remove the daemon from the site's controllers.")
			}
			return
		}
	}
	k.responseReplay()
	if c.HasRole(RoleController) {
		k.warn("daemon", c.Daemon, "is a controller that the site does not list",
			"Add it to site.zones, or add it to the running group as a new member.")
	}
}

// listedAddress checks that the daemon listens on the address listed in the site.
func (k *checker) listedAddress(member Member) {
	own, ownErr := netip.ParseAddrPort(k.config.Listen.Internal)
	listed, listedErr := netip.ParseAddrPort(member.Address)
	if ownErr != nil || listedErr != nil || own.Port() == 0 {
		return // reported elsewhere, or port 0, which only tests use
	}
	listens := listener{address: own}
	if own.Port() == listed.Port() && listens.overlaps(listed) {
		return
	}
	k.add("listen.internal", k.config.Listen.Internal, "differs from the address of this daemon in site.zones",
		"Listen on "+member.Address+", or correct the daemon's address in site.zones.")
}

// responseReplay warns when other routers cannot fetch the responses stored by this
// router. It applies to daemons that the site does not list.
func (k *checker) responseReplay() {
	c := k.config
	if !c.HasRole(RoleRouter) {
		return
	}
	const remedy = "Set an IP address of this machine and a port at which other daemons reach it."
	const consequence = ", so only this router can replay the responses that it stores"
	own, err := netip.ParseAddrPort(c.Listen.Internal)
	switch {
	case c.Listen.Internal == "":
		k.warn("listen.internal", "", "is missing"+consequence, remedy)
	case err != nil:
		// Reported by listen.
	case own.Addr().IsUnspecified():
		k.warn("listen.internal", c.Listen.Internal, "is the unspecified address"+consequence, remedy)
	case own.Port() == 0 && !c.Development:
		k.warn("listen.internal", c.Listen.Internal, "gets a new port at each restart"+consequence, remedy)
	case own.Addr().Unmap().IsLoopback() && !k.siteIsLocal():
		k.warn("listen.internal", c.Listen.Internal, "is reachable from this machine only"+consequence, remedy)
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
