package peers

import (
	"cmp"
	"maps"
	"slices"
)

// Peer is a router through which others may reach runners.
type Peer struct {
	// Router is the name of the process, Address where it accepts tunnels.
	Router  string
	Address string
	// Zone is empty at a site without zones.
	Zone string
	// IsCutOff is set while the router itself reaches no runner of some service.
	IsCutOff bool
}

// InitialVersion is the version of an empty Roster.
const InitialVersion = 1

// List is the content of a Roster, as passed on to relays.
type List struct {
	// Version identifies the content within a leader's term.
	Version uint64
	// Peers are sorted by Router.
	Peers []Peer
}

// Roster holds the routers that accept tunnels. Create one with New. It is not safe for concurrent use.
type Roster struct {
	regions map[string]string
	version uint64
	routers map[string]Peer
	// zones holds the routers that reach runners by zone, sorted by name; nil after a change.
	zones map[string][]Peer
}

// New returns an empty Roster. regions maps zones to regions.
func New(regions map[string]string) *Roster {
	return &Roster{regions: regions, version: InitialVersion, routers: make(map[string]Peer)}
}

// Set adds a router or updates it. An empty address keeps the known one; without one, the router is not added.
func (r *Roster) Set(router Peer) {
	known, isKnown := r.routers[router.Router]
	if router.Address == "" {
		router.Address = known.Address
	}
	if router.Address == "" || isKnown && known == router {
		return
	}
	r.routers[router.Router] = router
	r.changed()
}

// Remove removes a router.
func (r *Roster) Remove(name string) {
	if _, isKnown := r.routers[name]; !isKnown {
		return
	}
	delete(r.routers, name)
	r.changed()
}

func (r *Roster) changed() {
	r.version++
	r.zones = nil
}

// Version identifies the content.
func (r *Roster) Version() uint64 { return r.version }

// Len returns the number of routers.
func (r *Roster) Len() int { return len(r.routers) }

// List returns a copy of the content.
func (r *Roster) List() List {
	listed := slices.SortedFunc(maps.Values(r.routers), func(a, b Peer) int { return cmp.Compare(a.Router, b.Router) })
	return List{Version: r.version, Peers: listed}
}

// Adopt replaces the content.
func (r *Roster) Adopt(list List) {
	r.routers = make(map[string]Peer, len(list.Peers))
	for _, each := range list.Peers {
		r.routers[each.Router] = each
	}
	r.version, r.zones = list.Version, nil
}
