package daemon

import (
	"hash/fnv"
	"path/filepath"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/structs"
)

// storeShare returns the zone's share, in proportion to its weight, of the concurrent
// loads that the weight store serves at full speed. It is at least one.
func storeShare(site config.Site, own config.Zone) int {
	total := 0
	for _, zone := range site.Zones {
		total += zone.Weight
	}
	if total == 0 {
		return 1
	}
	return max(1, site.StoreConcurrent*own.Weight/total)
}

func memberOf(members []config.Member, daemon structs.DaemonID) (config.Member, bool) {
	for _, member := range members {
		if member.Daemon == daemon {
			return member, true
		}
	}
	return config.Member{}, false
}

// groupOptions opens the member's store and returns the options of its group. A new
// store gets a new node ID, so that a member that lost its store cannot vote twice.
func (d *Daemon) groupOptions(name string, own config.Member, listed []config.Member) (group.Options, error) {
	path := filepath.Join(d.config.DataFolder, name+".db")
	store, err := logstore.OpenMember(path, name, d.config.Daemon, group.NewNodeID())
	if err != nil {
		return group.Options{}, err
	}
	d.stores = append(d.stores, store)
	node := store.Identity().Node
	return group.Options{
		Name:           name,
		Node:           node,
		Members:        []group.Member{{Node: node, Address: own.Address}},
		Hold:           true,
		Standbys:       standbysOf(listed),
		Store:          store,
		Client:         d.client,
		Server:         d.server,
		TickInterval:   d.config.Timing.TickInterval,
		ElectionTicks:  d.config.Timing.ElectionTicks,
		HeartbeatTicks: d.config.Timing.HeartbeatTicks,
		Seed:           seedOf(name, d.config.Daemon),
	}, nil
}

// standbysOf returns the daemons that lead only if no other member can.
func standbysOf(listed []config.Member) []string {
	var names []string
	for _, member := range listed {
		if member.Standby {
			names = append(names, string(member.Daemon))
		}
	}
	return names
}

// seedOf returns a seed that differs between the members of a group and between groups,
// such as for election timeouts.
func seedOf(name string, daemon structs.DaemonID) uint64 {
	hash := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = hash.Write([]byte(name + "/" + string(daemon)))
	return hash.Sum64()
}
