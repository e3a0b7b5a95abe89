package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/table"
	"github.com/lotusferry/lotusferry/structs"
)

// globalReports holds what a zone leader has yet to report to the global group. A newer
// statement about a row replaces an older one, so its size is bounded by the rows even
// while the group is unreachable.
type globalReports struct {
	mutex    sync.Mutex
	releases map[structs.RowName]structs.GrantRelease
	wishes   map[structs.RowName]structs.GrantWish
	inForce  uint64
	reported uint64
	changed  notifier
}

// put adds the statements of one planning round.
func (g *globalReports) put(decisions controller.Decisions) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.releases == nil {
		g.releases = map[structs.RowName]structs.GrantRelease{}
		g.wishes = map[structs.RowName]structs.GrantWish{}
	}
	for _, release := range decisions.Releases {
		g.releases[release.Row] = release
	}
	for _, wish := range decisions.Wishes {
		g.wishes[wish.Row] = wish
	}
	news := len(decisions.Releases)+len(decisions.Wishes) > 0 || decisions.InForce > g.inForce
	g.inForce = max(g.inForce, decisions.InForce)
	if news {
		g.changed.broadcast()
	}
}

// take returns commands that carry the statements, and clears them.
func (g *globalReports) take(zone structs.ZoneID) []table.Command {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var commands []table.Command
	if g.inForce > g.reported {
		g.reported = g.inForce
		commands = append(commands, table.Command{InForce: &table.InForceCommand{Zone: zone, Revision: g.inForce}})
	}
	for _, release := range g.releases {
		commands = append(commands, table.Command{Release: &release})
	}
	if len(g.wishes) > 0 {
		wish := &table.WishCommand{Zone: zone}
		for _, wanted := range g.wishes {
			wish.Wishes = append(wish.Wishes, wanted)
		}
		slices.SortFunc(wish.Wishes, func(a, b structs.GrantWish) int { return cmp.Compare(a.Row, b.Row) })
		commands = append(commands, table.Command{Wish: wish})
	}
	clear(g.releases)
	clear(g.wishes)
	return commands
}

// failed records that a command was not delivered. Only the revision in force is
// restored; the controller decides releases and wishes again.
func (g *globalReports) failed(command table.Command) {
	if command.InForce == nil {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reported == command.InForce.Revision {
		g.reported = 0
	}
}
